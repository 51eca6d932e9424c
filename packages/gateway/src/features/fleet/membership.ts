/**
 * Keeps the view of the fleet true. In a small fleet each instance sends heartbeats to all others. In a large one, where
 * these would grow with the square of its size, each asks a few others in turn whether they are alive, and tells all of
 * one that does not answer.
 */
import {
	defaultFleetTiming, FleetView, MemberChecks, type FleetMember,
} from '@cairnbank/core/fleet';
import type {Context} from '../../kernel/context.js';
import {splitAddress} from '../../kernel/listen.js';
import type {FleetMessage} from './datagrams.js';

/** The follower's heartbeats carry the age of what all know, so they are more frequent than those of the others. */
const followerHeartbeatMs = 300;
/** After its start an instance looks for others more often, as they may be starting too. */
const firstBeatsMs = 25;
const firstBeatsUntilMs = 200;
/** Up to this number of others, heartbeats to all cost at most 60 datagrams a second. */
const smallFleet = 24;
/** Others that are told of news in a large fleet; each that learns something by it tells as many. */
const toldOfNews = 6;
/** Others that tell an instance that has just appeared where all are, beside those that it asks first. */
const introducers = 4;
/** Addresses in one message, so that it fits into a datagram. */
const hostsPerMessage = 50;

export type MembershipOptions = {
	readonly context: Pick<Context, 'clock' | 'incarnation' | 'logger' | 'metrics' | 'random' | 'settings'>;
	readonly send: (message: FleetMessage, hosts: readonly string[]) => void;
	/** This instance as others see it. */
	readonly self: () => FleetMember;
	/** Whether this instance reads the store on behalf of all. */
	readonly isFollower: () => boolean;
};

export class Membership {
	readonly view: FleetView;
	readonly #options: MembershipOptions;
	readonly #checks: MemberChecks;
	readonly #startedAtMs: number;
	#toldFlags = '';
	/** Another instance holds this one for lost. */
	#isDoubted = false;

	constructor(options: MembershipOptions) {
		this.#options = options;
		this.#startedAtMs = options.context.clock.monotonicMs();
		this.view = new FleetView(options.context.clock);
		this.#checks = new MemberChecks(options.context.random);
	}

	/** Time until the next beat. */
	get beatMs(): number {
		if (this.#isStarting) {
			return firstBeatsMs;
		}

		return this.#options.isFollower() ? followerHeartbeatMs : defaultFleetTiming.heartbeatMs;
	}

	/** One round: forgets, asks, and tells others of this instance. */
	beat(): void {
		const {logger, metrics} = this.#options.context;
		for (const host of this.view.sweep()) {
			logger.info('instance forgotten', {host});
		}

		const {asked, lost} = this.#isStarting ? {asked: [], lost: []} : this.#checks.next(this.view.unsure());
		for (const host of lost) {
			this.#lost(host);
		}

		metrics.liveInstances.set(this.view.live().length + 1);
		const asks = new Set([...asked, ...this.view.candidates()]);
		this.#tell([...asks], true);
		if (this.#tellsAll) {
			this.#tellAll(asks);
		}
	}

	/** Tells others of this instance now: all of what concerns callers, a few of newer state, who ask for it and tell others. */
	announce(): void {
		if (this.#tellsAll) {
			this.announceToAll();
		} else {
			this.#tell(this.few(), false);
		}
	}

	/** Tells all others of this instance now. */
	announceToAll(): void {
		this.#tellAll(new Set());
	}

	/** Some live others, drawn anew each time. */
	few(): readonly string[] {
		const hosts = this.view.live().map(({host}) => host);
		const {random} = this.#options.context;
		return Array.from({length: Math.min(toldOfNews, hosts.length)}, () => hosts.splice(random.below(hosts.length), 1)[0]!);
	}

	/** Whether all others are told of each heartbeat of this instance. */
	get isBeatingToAll(): boolean {
		return this.view.targets().length <= smallFleet || this.#options.isFollower();
	}

	/** A heartbeat came from another instance. */
	heard(message: Extract<FleetMessage, {type: 'heartbeat'}>): void {
		const {member, isBeating, wantsReply} = message;
		this.#checks.heard(member.host);
		const news = this.view.heard(member, isBeating);
		switch (news) {
			case 'nothing': {
				if (wantsReply) {
					this.#tell([member.host], false);
				}

				return;
			}

			case 'appeared': {
				this.#logAppeared(member);
				this.#introduce(member);
				this.#tell([member.host], false);
				return;
			}

			case 'returned': {
				this.#logAppeared(member);
				// It tells all that it lives, as others may hold it for lost too.
				this.#options.send({type: 'lost', host: member.host, incarnation: member.incarnation}, [member.host]);
				this.#tell([member.host], false);
			}
		}
	}

	/** Another instance holds a member for lost. */
	toldLost({host, incarnation}: Extract<FleetMessage, {type: 'lost'}>): void {
		if (incarnation === this.#options.context.incarnation) {
			this.#isDoubted = true;
			return;
		}

		if (this.view.toldLost(host, incarnation)) {
			this.#options.context.logger.info('instance lost', {host, incarnation, source: 'instance'});
			this.#tell([host], true);
		}
	}

	#lost(host: string): void {
		const {hearsOthers} = this.view;
		const member = this.view.lost(host);
		if (member === undefined) {
			return;
		}

		const {incarnation} = member;
		this.#options.context.logger.info('instance lost', {host, incarnation, source: 'no answer'});
		if (hearsOthers) {
			this.#options.send({type: 'lost', host, incarnation}, this.view.targets());
		}
	}

	get #isStarting(): boolean {
		return this.#options.context.clock.monotonicMs() - this.#startedAtMs < firstBeatsUntilMs;
	}

	get #tellsAll(): boolean {
		return this.isBeatingToAll || this.#isDoubted || this.#flags !== this.#toldFlags;
	}

	/** What is told to all as it changes: whether callers are sent here, who reads the store, whether silence tells a loss. */
	get #flags(): string {
		const {ready, leaving, reachesStore} = this.#options.self();
		return [ready, leaving, reachesStore, this.isBeatingToAll].join(' ');
	}

	/** @param except - hosts that were told just now */
	#tellAll(except: ReadonlySet<string>): void {
		this.#tell(this.view.targets().filter(host => !except.has(host)), false);
		this.#toldFlags = this.#flags;
		this.#isDoubted = false;
	}

	#tell(hosts: readonly string[], wantsReply: boolean): void {
		const {send, self} = this.#options;
		send({
			type: 'heartbeat', member: self(), isBeating: this.isBeatingToAll, wantsReply,
		}, hosts);
	}

	#introduce({host}: FleetMember): void {
		const {context: {random}, send} = this.#options;
		const others = this.view.targets().filter(other => other !== host);
		const isIntroducer = others.length <= smallFleet || this.#isSeed || random.below(others.length) < introducers;
		if (!isIntroducer) {
			return;
		}

		for (let start = 0; start < others.length; start += hostsPerMessage) {
			send({type: 'hosts', hosts: others.slice(start, start + hostsPerMessage)}, [host]);
		}
	}

	get #isSeed(): boolean {
		const {seeds, host} = this.#options.context.settings;
		return seeds.some(seed => splitAddress(seed).host === host);
	}

	#logAppeared({instance, host, incarnation}: FleetMember): void {
		this.#options.context.logger.info('instance appeared', {instance, host, incarnation});
	}
}
