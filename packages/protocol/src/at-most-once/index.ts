export * from './at-most-once-router.js';
export * from './forwarded-call.js';
export * from './forward-answer.js';
export * from './hand-over.js';
export * from './issued-ticket.js';
export * from './outcome-message.js';
