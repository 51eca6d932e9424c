/** Hands each message of another instance to the part that handles it, and relays it where its sender asks for that. */
import type {CrashRecord} from '@cairnbank/core/crash-record';
import type {LimitMessage} from '@cairnbank/core/account-limits';
import type {RateReport} from '../upstreams/rate-limits.js';
import type {FleetMessage} from './datagrams.js';

export type MessageHandlers = {
	readonly onHeartbeat: (message: Extract<FleetMessage, {type: 'heartbeat'}>) => void;
	readonly onMembers: (message: Extract<FleetMessage, {type: 'members'}>) => void;
	readonly onSuspects: (records: readonly CrashRecord[]) => void;
	readonly onSuspectsRequest: (from: string) => void;
	readonly onRateReport: (report: RateReport) => void;
	readonly onChanges: (message: Extract<FleetMessage, {type: 'changes'}>) => void;
	readonly onLimitMessage: (message: LimitMessage, from: string) => void;
	/** Relays a message to the availability zone of this instance. */
	readonly relayInZone: (message: FleetMessage) => void;
};

export function dispatchMessage(message: FleetMessage, from: string, handlers: MessageHandlers): void {
	switch (message.type) {
		case 'heartbeat': {
			handlers.onHeartbeat(message);
			return;
		}

		case 'members': {
			handlers.onMembers(message);
			return;
		}

		case 'suspects': {
			handlers.onSuspects(message.records);
			return;
		}

		case 'suspects-request': {
			handlers.onSuspectsRequest(from);
			return;
		}

		case 'rate': {
			handlers.onRateReport(message.report);
			relayIfAsked(message, handlers);
			return;
		}

		case 'changes': {
			handlers.onChanges(message);
			relayIfAsked(message, handlers);
			return;
		}

		case 'limit': {
			handlers.onLimitMessage(message.message, from);
		}
	}
}

function relayIfAsked(message: Extract<FleetMessage, {type: 'rate' | 'changes'}>, {relayInZone}: MessageHandlers): void {
	if (message.shouldRelayInZone) {
		relayInZone({...message, shouldRelayInZone: false});
	}
}
