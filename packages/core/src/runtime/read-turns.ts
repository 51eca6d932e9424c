/** Shares the event loop among connections whose bytes take long to read. */
import type {Socket} from 'node:net';

/**
 * The flag by which the HTTP server knows that a connection is not to be read, whatever the stream of a request asks for, and the parser
 * that it pauses then.
 */
type PausableSocket = Socket & {_paused?: boolean; readonly parser?: {resume: () => void} | null}; // eslint-disable-line @typescript-eslint/no-restricted-types -- a type of the runtime

/** Parts of a body that are read before other connections have their turn; some 3 ms. Only bodies in small chunks have as many in 64 KiB. */
const partsInTurn = 1024;

/** Time for all else between two connections in small chunks. 64 KiB of them take some 36 ms, and the runtime accepts one connection in each turn of its event loop. */
const othersMs = 4;

/** New connections that have not been read yet; their callers come before those that send small chunks. */
const unread = new Set<PausableSocket>();
/** Connections that are not read until others have been. */
const waiting = new Set<PausableSocket>();
let isScheduled = false;

/** Counts the parts of one body, and lets other connections be read after some of them. */
export class ReadTurns {
	readonly #socket: Socket;
	#parts = 0;

	constructor(socket: Socket) {
		this.#socket = socket;
	}

	/** Records a part. One that is dropped counts too, as it takes nearly as long to read. */
	partRead(): void {
		this.#parts += 1;
		if (this.#parts % partsInTurn === 0) {
			readInTurn(this.#socket);
		}
	}
}

/**
 * Reads a connection on only once all others that wait for their turn have been read. The runtime reads up to 2 MiB of a connection before
 * it turns to the next one, and a chunk of one byte takes some 3 µs: 30 callers that send such chunks would keep all others waiting for seconds.
 */
export function readInTurn(socket: Socket): void {
	if (!unread.has(socket) && !socket.destroyed) {
		hold(socket, waiting);
	}
}

/** Reads a new connection in its turn while others send small chunks, as it may send as many in its first 64 KiB. */
export function readFirstInTurn(socket: Socket): void {
	if (waiting.size > 0 || unread.size > 0) {
		hold(socket, unread);
	}
}

function hold(socket: PausableSocket, queue: Set<PausableSocket>): void {
	if (queue.has(socket)) {
		return;
	}

	queue.add(socket);
	socket._paused = true;
	// A new socket resumes by itself once the event of its connection is over.
	queueMicrotask(() => {
		if (socket._paused === true) {
			socket.pause();
		}
	});
	schedule();
}

function schedule(): void {
	if (isScheduled) {
		return;
	}

	isScheduled = true;
	if (unread.size > 0) {
		setImmediate(resumeNext);
	} else {
		setTimeout(resumeNext, othersMs);
	}
}

/** Resumes one connection, and the next one in another turn of the event loop. */
function resumeNext(): void {
	isScheduled = false;
	const queue = unread.size > 0 ? unread : waiting;
	const [socket] = queue;
	if (socket === undefined) {
		return;
	}

	queue.delete(socket);
	socket._paused = false;
	socket.parser?.resume();
	socket.resume();
	if (unread.size + waiting.size > 0) {
		schedule();
	}
}
