/** All commands of `cairnbank`, in the order in which help lists them. */
import {type Command} from '../kernel/command.js';
import {drainCommand} from './drain/drain-command.js';
import {undrainCommand} from './drain/undrain-command.js';
import {explainCommand} from './explain/explain-command.js';
import {historyCommand} from './history/history-command.js';
import {publishCommand} from './publish/publish-command.js';
import {showCommand} from './show/show-command.js';
import {statusCommand} from './status/status-command.js';
import {validateCommand} from './validate/validate-command.js';
import {watchCommand} from './watch/watch-command.js';

export const commands: readonly Command[] = [
	validateCommand,
	publishCommand,
	showCommand,
	historyCommand,
	watchCommand,
	statusCommand,
	drainCommand,
	undrainCommand,
	explainCommand,
];
