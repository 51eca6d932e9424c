/** All checks of the soak. */
import {accountChecks} from './account-checks.js';
import {checks as serviceChecks, type Check} from './checks.js';
import {deliveryChecks} from './delivery-checks.js';
import {memoryChecks} from './memory-checks.js';
import {stopChecks} from './stop-checks.js';

export const checks: readonly Check[] = [...serviceChecks, ...accountChecks, ...stopChecks, ...deliveryChecks, ...memoryChecks];
