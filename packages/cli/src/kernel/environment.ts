/** Everything that commands use outside their own code. Specs replace it by test doubles. */
import {type Clock, type RecordId} from '@cairnbank/core';
import {type LogClient} from '@cairnbank/protocol/log';
import {type OperatorsClient, type OperatorsClientOptions} from '@cairnbank/protocol/operators';
import {type CliSettings} from '../settings/cli-settings.js';
import {type Output} from './output.js';

export type Environment = {
	readonly output: Output;
	readonly clock: Clock;
	readonly variables: Readonly<Record<string, string | undefined>>;
	/** Name of the user who runs the command, if the operating system knows it. */
	readonly userName?: string;
	/** Aborts when the user interrupts the command. */
	readonly interruptSignal: AbortSignal;
	/** Reads the text of a file, or of standard input for `-`. */
	readText(file: string): Promise<string>;
	/** Fetches JSON from a URL. Throws if the request fails or the answer is not JSON. */
	readJson(url: URL, timeoutMs: number): Promise<unknown>;
	/** Waits for this time, or until the command is interrupted. */
	pause(durationMs: number): Promise<void>;
	createRecordId(): RecordId;
	connectLog(settings: CliSettings['log']): LogClient;
	connectInstance(options: OperatorsClientOptions): OperatorsClient;
};

