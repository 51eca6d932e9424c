/** What the logs of the instances tell of one request. */

/** A line of a log; the fields that the story needs, and all others as they are. */
export type LogLine = Readonly<Record<string, unknown>> & {
	readonly time: string;
	readonly event: string;
	readonly instance: string;
};

export type ParsedLogs = {
	readonly lines: readonly LogLine[];
	/** Lines that are no log lines of an instance. */
	readonly unreadable: number;
};

export type RequestTimeline = {
	/** What each instance that saw the request believed then. */
	readonly instanceState: readonly LogLine[];
	/** Lines of the request itself, in the order of their time. */
	readonly lines: readonly LogLine[];
};

/** Events of which the last one before the request tells what an instance believed. */
const stateEvents = new Set(['configuration in force', 'store lost', 'store regained', 'leaving', 'started', 'settings reloaded']);

export function parseLogs(texts: readonly string[]): ParsedLogs {
	const rows = texts.flatMap(text => text.split('\n')).filter(row => row.trim() !== '');
	const lines = rows.map(row => parseLine(row)).filter(line => line !== undefined);
	return {lines, unreadable: rows.length - lines.length};
}

/** @returns nothing where no line has the request's id */
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

/** The last line of each standing event, and of each upstream that the request was sent to, before the request ended. */
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
