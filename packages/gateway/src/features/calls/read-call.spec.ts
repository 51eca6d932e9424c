import assert from 'node:assert/strict';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {type ClientAccountId, type ServiceId} from '@cairnbank/core';
import {digestKey, type ClientAccount} from '@cairnbank/core/accounts';
import {HeaderFilter} from '@cairnbank/core/headers';
import {RouteTable, type Route} from '@cairnbank/core/routes';
import {createMetrics} from '../../metrics/metrics.js';
import {plainDialect} from '../../ports/request-dialect-fixture.js';
import {Authenticator} from './authenticator.js';
import {readCallHead} from './read-call.js';

const school: ClientAccount = {id: 'school' as ClientAccountId, keys: [digestKey('k1'), digestKey('k2')], priority: 0};
const plainRoute: Route = {
	id: 'a', pathPrefix: '/a/', idempotent: true, timeoutMs: 1000, targetLatencyMs: 100, priority: 2, maximumAttempts: 2, services: [{service: 'ledger' as ServiceId, weight: 1}],
};

function routesWith(accounts: readonly ClientAccount[] | undefined): RouteTable {
	return new RouteTable({
		version: 1,
		services: [],
		hosts: [{
			host: 'h', routes: [plainRoute, {
				...plainRoute, id: 'public', pathPrefix: '/public/', isPublic: true,
			}],
		}],
		limits: {
			maximumHeaderBytes: 8192, maximumBodyBytes: 65_536, headerTimeoutMs: 5000, idleTimeoutMs: 4000,
		},
		...(accounts === undefined ? {} : {accounts}),
	});
}

type HeadOptions = {readonly accounts?: readonly ClientAccount[]; readonly path?: string; readonly configurationAgeMs?: number};

function readHead(headers: readonly string[], {accounts, path = '/a/1', configurationAgeMs = 0}: HeadOptions = {}): ReturnType<typeof readCallHead> {
	const routes = routesWith(accounts);
	const request = new IncomingMessage(new Socket());
	request.url = path;
	request.rawHeaders = ['Host', 'h', 'Id', 'r1', ...headers];
	for (const [index, name] of request.rawHeaders.entries()) {
		if (index % 2 === 0) {
			const lowerCaseName = name.toLowerCase();
			request.headers[lowerCaseName] ??= request.rawHeaders[index + 1];
			(request.headersDistinct[lowerCaseName] ??= []).push(request.rawHeaders[index + 1]!);
		}
	}

	return readCallHead(request, {
		routes,
		dialect: plainDialect,
		requestHeaders: new HeaderFilter(accounts === undefined ? [] : ['authorization', 'account']),
		authenticator: new Authenticator({metrics: createMetrics(), routes: () => routes, configurationAgeMs: () => configurationAgeMs}),
		receivedAtMs: 0,
		random: {next: () => 0, nextInteger: () => 0},
	});
}

describe('readCallHead', () => {
	describe('where accounts are configured', () => {
		const accounts = [school];

		it('should replace the key and any account that the caller names by the account of the key', () => {
			const {account, headers} = readHead(['Authorization', 'Bearer k2', 'Account', 'other', 'ACCOUNT', 'third', 'X-A', '1'], {accounts})._unsafeUnwrap();
			assert.equal(account, school);
			assert.deepEqual(headers, ['Host', 'h', 'Id', 'r1', 'X-A', '1', 'account', 'school']);
		});

		it('should prefer the priority of the account to that of the route', () => {
			assert.equal(readHead(['Authorization', 'Bearer k1'], {accounts})._unsafeUnwrap().priority, 0);
			assert.equal(readHead(['Authorization', 'Bearer k3'], {accounts: [{id: school.id, keys: [digestKey('k3')]}]})._unsafeUnwrap().priority, 2);
		});

		it('should need no key on a public route, and pass on neither a key nor an account there', () => {
			const {account, headers} = readHead(['Authorization', 'Bearer k1', 'Account', 'school'], {accounts, path: '/public/1'})._unsafeUnwrap();
			assert.equal(account, undefined);
			assert.deepEqual(headers, ['Host', 'h', 'Id', 'r1']);
		});

		for (const [reason, headers] of [
			['no-credentials', []],
			['several-credentials', ['Authorization', 'Bearer k1', 'authorization', 'Bearer k1']],
			['malformed-credentials', ['Authorization', 'Basic k1']],
			['unknown-key', ['Authorization', 'Bearer k3']],
		] as const) {
			it(`should refuse a request as unauthenticated: ${reason}`, () => {
				assert.deepEqual(readHead(headers, {accounts})._unsafeUnwrapErr(), {type: 'unauthenticated', reason});
			});
		}

		describe('while the store has not confirmed the configuration for some seconds', () => {
			const cutOff = {accounts, configurationAgeMs: 10_000};

			it('should answer an unknown key as not run, as it may be newer', () => {
				const outcome = readHead(['Authorization', 'Bearer k3'], cutOff)._unsafeUnwrapErr();
				assert.deepEqual([outcome.type, 'reason' in outcome && outcome.reason], ['not-run', 'unconfirmed-key']);
			});

			it('should serve a known key', () => {
				assert.equal(readHead(['Authorization', 'Bearer k1'], cutOff)._unsafeUnwrap().account, school);
			});

			it('should refuse a request without a key all the same', () => {
				assert.equal(readHead([], cutOff)._unsafeUnwrapErr().type, 'unauthenticated');
			});
		});
	});

	it('should pass on every header where no accounts are configured', () => {
		const headers = ['Authorization', 'Bearer k1', 'Account', 'other', 'account', 'third'];
		assert.deepEqual(readHead(headers)._unsafeUnwrap().headers, ['Host', 'h', 'Id', 'r1', ...headers]);
	});
});
