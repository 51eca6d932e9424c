/** TRPC router between the command line and the admin port of a daemon. */
import {initTRPC, TRPCError} from '@trpc/server';
import {configurationTransferSchema} from './configuration-transfer.js';
import {instanceBriefSchema} from './instance-brief.js';
import {instanceStatusSchema} from './instance-status.js';
import {type OperatorsPort} from './operators-port.js';

/** Path of the router on the admin port. */
export const operatorsPath = '/operators';

export type OperatorsContext = {
	/** Whether the request carried an accepted secret. */
	readonly authorized: boolean;
};

const t = initTRPC.context<OperatorsContext>().create();

const procedure = t.procedure.use(async ({ctx, next}) => {
	if (!ctx.authorized) {
		throw new TRPCError({code: 'UNAUTHORIZED', message: 'the operator secret is not accepted'});
	}

	return next();
});

/** Creates the router for a daemon's operations. Every procedure requires the operators' secret. */
export function createOperatorsRouter(port: OperatorsPort) {
	return t.router({
		brief: procedure.output(instanceBriefSchema).query(() => port.brief()),
		status: procedure.output(instanceStatusSchema).query(() => port.status()),
		configuration: procedure.output(configurationTransferSchema).query(() => port.configuration()),
		drainInstance: procedure.mutation(() => {
			port.drainInstance();
		}),
	});
}

export type OperatorsRouter = ReturnType<typeof createOperatorsRouter>;
