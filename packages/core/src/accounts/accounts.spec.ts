import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {ClientAccountId} from '../model/ids.js';
import {AccountIndex} from './account-index.js';
import {authenticate, type Authentication} from './authenticate.js';
import type {ClientAccount} from './client-account.js';
import {digestKey} from './key-digest.js';
import {recheck} from './recheck.js';
import {findAccountFault} from './validate-accounts.js';

function account(id: string, ...keys: string[]): ClientAccount {
	return {id: id as ClientAccountId, keys: keys.map(key => digestKey(key))};
}

const key = 'k3y-of.school~+/==';
const accounts = [account('school', key, 'second'), account('__proto__', 'other'), account('keyless')];
const index = new AccountIndex(accounts);

function describeResult(result: Authentication): string {
	return result.type === 'authenticated' ? result.account.id : result.reason;
}

describe('authenticate', () => {
	const cases: ReadonlyArray<[string, readonly string[], string]> = [
		['a known key', [`Bearer ${key}`], 'school'],
		['another key of the account', ['Bearer second'], 'school'],
		['another case of the scheme', [`bEARER ${key}`], 'school'],
		['several spaces after the scheme', [`Bearer   ${key}`], 'school'],
		['no header', [], 'no-credentials'],
		['an unknown key', ['Bearer unknown'], 'unknown-key'],
		['a prefix of a key', [`Bearer ${key.slice(0, -1)}`], 'unknown-key'],
		['a longer key', ['Bearer second1'], 'unknown-key'],
		['another case of a key', ['Bearer SECOND'], 'unknown-key'],
		['a name as a key', ['Bearer school'], 'unknown-key'],
		['a name of a built-in property', ['Bearer __proto__'], 'unknown-key'],
		['a digest as a key', [`Bearer ${digestKey(key)}`], 'unknown-key'],
		['another scheme', [`Basic ${key}`], 'malformed-credentials'],
		['a key without a scheme', [key], 'malformed-credentials'],
		['an empty value', [''], 'malformed-credentials'],
		['an empty key', ['Bearer '], 'malformed-credentials'],
		['two keys in one header', ['Bearer second, Bearer second'], 'malformed-credentials'],
		['a parameter after the key', ['Bearer second realm'], 'malformed-credentials'],
		['the same header twice', ['Bearer second', 'Bearer second'], 'several-credentials'],
	];
	for (const [name, credentials, expected] of cases) {
		it(`should answer ${expected} to ${name}`, () => {
			assert.equal(describeResult(authenticate(credentials, index)), expected);
		});
	}

	it('should never authenticate as an account whose key was not given', () => {
		const known = new Map([[key, 'school'], ['second', 'school'], ['other', '__proto__']]);
		const scheme = fc.constantFrom('Bearer ', 'bearer', 'BEARER  ', 'Basic ', '');
		const token = fc.oneof(fc.string(), fc.constantFrom(...known.keys()));
		const value = fc.oneof(fc.string({unit: 'binary'}), fc.tuple(scheme, token).map(parts => parts.join('')));
		fc.assert(fc.property(fc.array(value, {maxLength: 3}), credentials => {
			const result = authenticate(credentials, index);
			if (result.type === 'authenticated') {
				const given = /[^ ]+$/.exec(credentials[0]!)![0];
				assert.equal(credentials.length, 1);
				assert.equal(result.account.id, known.get(given));
			}
		}), {seed: 1, numRuns: 5000});
	});
});

describe('findAccountFault', () => {
	it('should find none in different accounts, also if one lists a key twice', () => {
		assert.equal(findAccountFault([...accounts, account('twice', 'x', 'x')]), undefined);
	});

	for (const [name, faulty, expected] of [
		['a key of two accounts', [account('a', 'k'), account('b', 'j', 'k')], /"a" and "b" have a key/],
		['two accounts of one name', [account('a', 'k'), account('a', 'j')], /two accounts have the name "a"/],
		['an empty name', [account('')], /can't be sent/],
		['a name with a line break', [account('a\r\nHost: b')], /can't be sent/],
		['a name that ends with a space', [account('a ')], /can't be sent/],
		['a name outside of Latin-1', [account('学校')], /can't be sent/],
	] as const) {
		it(`should name ${name}`, () => {
			assert.match(findAccountFault(faulty) ?? '', expected);
		});
	}

	it('should never name a key or its digest', () => {
		const fault = findAccountFault([account('a', 'secret'), account('b', 'secret')])!;
		assert.ok(!fault.includes('secret') && !fault.includes(digestKey('secret')));
	});
});

describe('recheck', () => {
	const [school] = accounts;
	const waiting = {account: school, accountKey: digestKey('second'), isPublic: false};
	const withoutAccount = {account: undefined, accountKey: undefined, isPublic: false};

	it('should accept a key that its account still has, also if other keys of it are gone', () => {
		assert.equal(recheck(waiting, new AccountIndex([account('school', 'second', 'new')])), 'valid');
	});

	it('should find a key that was removed, alone or with its account', () => {
		assert.equal(recheck(waiting, new AccountIndex([account('school', key)])), 'key-removed');
		assert.equal(recheck(waiting, new AccountIndex([])), 'key-removed');
	});

	it('should find a key that has moved to another account', () => {
		assert.equal(recheck(waiting, new AccountIndex([account('school', key), account('thief', 'second')])), 'key-removed');
	});

	it('should accept every caller where no account is needed any more', () => {
		assert.equal(recheck(waiting, undefined), 'valid');
		assert.equal(recheck(withoutAccount, undefined), 'valid');
	});

	it('should stop a request without an account where one is needed now, except on a public route', () => {
		assert.equal(recheck(withoutAccount, index), 'accounts-introduced');
		assert.equal(recheck({...withoutAccount, isPublic: true}, index), 'valid');
	});
});
