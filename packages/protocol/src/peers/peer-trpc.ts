/** The tRPC instance that all procedures between daemons are made with. Secrets are checked before it sees a call. */
import {initTRPC} from '@trpc/server';

export const peerTrpc = initTRPC.create();
