/** All mutations of the soak. */
import {accountMutations} from './account-mutations.js';
import {deliveryMutations} from './delivery-mutations.js';
import {memoryMutations} from './memory-mutations.js';
import {mutations as serviceMutations, type Mutation} from './mutations.js';
import {stopMutations} from './stop-mutations.js';

export const mutations: readonly Mutation[] = [...serviceMutations, ...accountMutations, ...stopMutations, ...deliveryMutations, ...memoryMutations];
