/** The tRPC instance for all procedures between daemons. Secrets are checked before a call reaches it. */
import {initTRPC} from '@trpc/server';

export const peerTrpc = initTRPC.create();
