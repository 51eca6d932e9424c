/** Defines the metrics of the process in Prometheus's conventions for names and units. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Bucket limits in seconds, from a fast in-memory answer to the longest route timeout in use. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4];

export type Metrics = ReturnType<typeof createMetrics>;

export function createMetrics() {
	const registry = new Registry();
	const registers = [registry];
	const counter = <Label extends string>(name: string, help: string, labelNames: Label[] = []) => new Counter({
		name, help, labelNames, registers,
	});
	return {
		registry,
		requests: counter('cairnbank_requests_total', 'Requests of callers, by outcome and its reason', ['outcome', 'reason']),
		authentications: counter('cairnbank_authentications_total', 'Requests whose caller was authenticated or refused where accounts are configured, by result', ['result']),
		attempts: counter('cairnbank_attempts_total', 'Attempts sent to upstreams, by kind and result', ['kind', 'result']),
		probes: counter('cairnbank_probes_total', 'Health checks of upstreams, by result', ['result']),
		retries: counter('cairnbank_repeats_total', 'Retries of requests, by whether the shared budget granted them or they are free because nothing had been sent before', ['service', 'grant']),
		retryGrantSeconds: new Histogram({
			name: 'cairnbank_repeat_grant_seconds', help: 'Time from the grant of a retry until it is sent', buckets: latencyBuckets, registers,
		}),
		retriesDenied: counter('cairnbank_repeats_denied_total', 'Retries that the shared budget denied', ['service']),
		storeCalls: counter('cairnbank_store_calls_total', 'Calls to the store, by call and result', ['call', 'result']),
		peerMessages: counter('cairnbank_peer_messages_total', 'Messages from other instances, by type', ['type']),
		upstreamConnections: counter('cairnbank_upstream_connections_total', 'Connections opened to upstreams, by reason', ['reason']),
		relayed: counter('cairnbank_relayed_requests_total', 'Requests and health checks that one instance passed on for another, by side and result', ['side', 'result']),
		lostServices: new Gauge({name: 'cairnbank_services_without_links', help: 'Services to whose upstreams this instance has lost its links', registers}),
		accountRequests: counter('cairnbank_account_requests_total', 'Requests of limited accounts, by account (the others together) and result', ['account', 'result']),
		requestSeconds: new Histogram({
			name: 'cairnbank_request_seconds', help: 'Time from the last byte of a request to its answer', labelNames: ['outcome'], buckets: latencyBuckets, registers,
		}),
		inFlight: new Gauge({name: 'cairnbank_requests_in_flight', help: 'Requests without an answer yet', registers}),
		openRequests: new Gauge({
			name: 'cairnbank_open_requests', help: 'Requests of callers without a complete answer, by state', labelNames: ['state'], registers,
		}),
		requestsSentAhead: counter('cairnbank_requests_sent_ahead_total', 'Requests that arrived on a connection before an earlier one was answered'),
		requestsBehindClose: counter('cairnbank_requests_behind_close_total', 'Requests that were not started, as their connection closes before them'),
		endedConnections: counter('cairnbank_ended_connections_total', 'Connections that were ended because their port had too many', ['port']),
		undeliveredAnswers: counter('cairnbank_undelivered_answers_total', 'Answers of a stopping instance whose callers are not known to have them, by what ended the connection', ['reason']),
		heldAnswerBytes: new Gauge({name: 'cairnbank_held_answer_bytes', help: 'Bytes of answers that their callers have not yet read', registers}),
		unfinishedAnswerBytes: new Gauge({name: 'cairnbank_unfinished_answer_bytes', help: 'Bytes of answers that are being read from upstreams', registers}),
		outgrownAnswers: counter('cairnbank_outgrown_answers_total', 'Answers that were given up before their end, as they were the longest and memory was short'),
		forcedCollections: counter('cairnbank_forced_collections_total', 'Times that dropped buffers were freed because memory was short'),
		heldHeadBytes: new Gauge({name: 'cairnbank_held_head_bytes', help: 'Memory set aside for connections of callers and for requests without their bodies', registers}),
		heldBodyBytes: new Gauge({name: 'cairnbank_held_body_bytes', help: 'Bytes set aside for bodies of requests that have not ended', registers}),
		configurationVersion: new Gauge({name: 'cairnbank_configuration_version', help: 'Version of the configuration in force', registers}),
		refusedConfigurationVersion: new Gauge({name: 'cairnbank_refused_configuration_version', help: 'Newest version of the configuration that was refused as a whole; 0 if none', registers}),
		emptiedZones: new Gauge({name: 'cairnbank_emptied_zones', help: 'Availability zones that operators have evacuated, so that their upstreams get no requests', registers}),
		coldRequests: counter('cairnbank_cold_requests_total', 'Requests sent to upstreams that were cold or not known to be warm', ['service']),
		lateEnds: counter('cairnbank_late_ends_total', 'Attempts that were cancelled or timed out and ended shortly afterwards, by their end', ['result']),
		clearedRequests: counter('cairnbank_cleared_requests_total', 'Requests under which upstreams had crashed, cleared by a later answer, by its status', ['status']),
		crashes: counter('cairnbank_crashes_total', 'Crashes of upstreams attributed to a request, by whether this or another instance detected them', ['source']),
		refusedRequests: new Gauge({name: 'cairnbank_refused_requests', help: 'Different requests that are refused because upstreams crashed under them', registers}),
		overloadRefusals: counter('cairnbank_overload_refusals_total', 'Requests refused for lack of capacity, by the reason that callers get', ['service', 'reason']),
		retryAfterSeconds: new Histogram({
			name: 'cairnbank_retry_after_seconds', help: 'Retry delays of requests refused for lack of capacity', buckets: latencyBuckets, registers,
		}),
		rateLimitedRequests: counter('cairnbank_rate_limited_requests_total', 'Requests sent to upstreams that advertise a rate limit, by kind', ['kind']),
		advisories: counter('cairnbank_upstream_advisories_total', 'Advisories in answers of upstreams, by type and by whether the answer was to a request or a health check', ['type', 'source']),
		unreadableAdvisories: counter('cairnbank_unreadable_advisories_total', 'Advisory headers of answers that can\'t be parsed, by header', ['header']),
		storeEpoch: new Gauge({name: 'cairnbank_store_epoch', help: 'Epoch of the store, which increases with each restore from an older copy', registers}),
		outdatedState: counter('cairnbank_outdated_state_total', 'Answers of the store and states of instances that were ignored because they precede a restore', ['source']),
		stateAgeSeconds: new Gauge({name: 'cairnbank_state_age_seconds', help: 'Time since the store last confirmed the known state', registers}),
		unreadableRecords: new Gauge({
			name: 'cairnbank_unreadable_records', help: 'Newest records of the store that can\'t be decoded, by topic', labelNames: ['topic'], registers,
		}),
		fleetSize: new Gauge({name: 'cairnbank_fleet_size', help: 'Number of instances by which this one divides fleet-wide limits; 0 while it has no share', registers}),
		liveInstances: new Gauge({name: 'cairnbank_live_instances', help: 'Instances that count as alive, including this one', registers}),
		unexpectedFaults: counter('cairnbank_unexpected_faults_total', 'Faults of the program itself, by the part that raised them', ['place']),
		droppedLogLines: new Gauge({name: 'cairnbank_log_lines_dropped', help: 'Log lines dropped since the start because the reader stalled', registers}),
	};
}
