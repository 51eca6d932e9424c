/** Builds the timeline of one request from the logs of the instances. */

/** A parsed log line: the fields that the timeline needs, and all others unchanged. */
export type LogLine = Readonly<Record<string, unknown>> & {
	readonly time: string;
	readonly event: string;
	readonly instance: string;
};

export type ParsedLogs = {
	readonly lines: readonly LogLine[];
	/** Number of lines that are not log lines of an instance. */
	readonly unreadable: number;
};

export type RequestTimeline = {
	/** The latest lines about the state of each instance that handled the request, before it ended. */
	readonly instanceState: readonly LogLine[];
	/** Lines about the request itself, ordered by time. */
	readonly lines: readonly LogLine[];
};

/** Events that change the state of an instance. The last one of each before the request is part of the timeline. */
const stateEvents = new Set(['configuration in force', 'store lost', 'store regained', 'leaving', 'started', 'settings reloaded']);

export function parseLogs(texts: readonly string[]): ParsedLogs {
	const rows = texts.flatMap(text => text.split('\n')).filter(row => row.trim() !== '');
	const lines = rows.map(row => parseLine(row)).filter(line => line !== undefined);
	return {lines, unreadable: rows.length - lines.length};
}

/** @returns nothing if no line has the request's id */
export function buildRequestTimeline(id: string, logs: readonly LogLine[]): RequestTimeline | undefined {
	const lines = logs.filter(line => line.id === id).toSorted(byTime);
	if (lines.length === 0) {
		return undefined;
	}

	const instanceState = lines.flatMap(line => instanceStateBefore(line, logs));
	return {lines, instanceState: [...new Set(instanceState)].toSorted(byTime)};
}

function parseLine(row: string): LogLine | undefined {
	try {
		const value: unknown = JSON.parse(row);
		return isLogLine(value) ? value : undefined;
	} catch {
		return undefined;
	}
}

function isLogLine(value: unknown): value is LogLine {
	return typeof value === 'object' && value !== null
		&& ['time', 'event', 'instance'].every(name => typeof (value as Record<string, unknown>)[name] === 'string');
}

function byTime(left: LogLine, right: LogLine): number {
	return left.time.localeCompare(right.time);
}

/** Returns the last line of each state event, and of each event of an upstream that the request was sent to, before the request ended. */
function instanceStateBefore(line: LogLine, logs: readonly LogLine[]): LogLine[] {
	const earlier = logs.filter(other => other.instance === line.instance && other.time <= line.time && other.id === undefined).toSorted(byTime);
	const decisions = typeof line.decisions === 'string' ? line.decisions : '';
	const latest = new Map<string, LogLine>();
	for (const other of earlier) {
		if (stateEvents.has(other.event)) {
			latest.set(other.event, other);
		} else if (typeof other.upstream === 'string' && decisions.includes(other.upstream)) {
			latest.set(`${other.event} ${other.upstream}`, other);
		}
	}

	return [...latest.values()];
}
