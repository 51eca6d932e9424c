/** What commands are given of the outside world, so that specs can stand in for it. */
import {type Clock, type RecordId} from '@cairnbank/core';
import {type LogClient} from '@cairnbank/protocol/log';
import {type OperatorsClient, type OperatorsClientOptions} from '@cairnbank/protocol/operators';
import {type CliSettings} from '../settings/cli-settings.js';
import {type Output} from './output.js';

export type Environment = {
	readonly output: Output;
	readonly clock: Clock;
	readonly variables: Readonly<Record<string, string | undefined>>;
	/** Name of the person at the keyboard, if the system knows it. */
	readonly userName?: string;
	/** Set once the person interrupts the command. */
	readonly interruptSignal: AbortSignal;
	/** The text of a file, or of standard input for `-`. */
	readText(file: string): Promise<string>;
	/** The JSON that a URL answers; throws where there is none. */
	readJson(url: URL, timeoutMs: number): Promise<unknown>;
	/** Waits, or returns early once interrupted. */
	pause(durationMs: number): Promise<void>;
	createRecordId(): RecordId;
	connectLog(settings: CliSettings['log']): LogClient;
	connectInstance(options: OperatorsClientOptions): OperatorsClient;
};

