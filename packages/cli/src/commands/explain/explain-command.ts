/** `cairnbank explain`: prints the timeline of one request from the logs of all instances. */
import {err, ok, ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {readInput} from '../../input/read-input.js';
import {defineCommand} from '../../kernel/command.js';
import {parseLogs, buildRequestTimeline, type LogLine} from './request-timeline.js';

const standardInputPath = '-';

export const explainCommand = defineCommand({
	usage: 'explain <id> [...files]',
	summary: 'Show what happened to one request, from the logs of the instances; no settings are needed',
	options: [],
	examples: ['cairnbank explain 9c41d07be2a35f68 entry-1.log entry-2.log', 'cat *.log | cairnbank explain 9c41d07be2a35f68 -'],
	optionsSchema: z.strictObject({}),
	async run({environment}, [id, ...files]) {
		const sources = files.length === 0 ? [standardInputPath] : files;
		const texts = await ResultAsync.combine(sources.map(file => readInput(environment, file)));
		if (texts.isErr()) {
			return err(texts.error);
		}

		const logs = parseLogs(texts.value);
		if (logs.unreadable > 0) {
			environment.output.error(`cairnbank: skipped ${logs.unreadable} line(s) that are not log lines of an instance`);
		}

		const timeline = buildRequestTimeline(id!, logs.lines);
		if (timeline === undefined) {
			return err({
				type: 'wrong-use',
				message: `none of ${logs.lines.length} log line(s) has the id ${id!}`,
				advice: 'include the logs of all instances that the caller was directed to; of uneventful answers, only one in `logging.sampleOneIn` is logged',
			});
		}

		environment.output.line('State known to the instances at that time:');
		for (const line of timeline.instanceState) {
			environment.output.line(toText(line));
		}

		environment.output.line('The request:');
		for (const line of timeline.lines) {
			environment.output.line(toText(line));
		}

		return ok();
	},
});

function toText({time, instance, event, level: _, decisions, ...fields}: LogLine): string {
	const details = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	const steps = typeof decisions === 'string' && decisions !== '' ? decisions.split(' ').map(step => `\n      ${step}`) : [];
	return `  ${time} ${instance} ${event}: ${details.join(' ')}${steps.join('')}`;
}
