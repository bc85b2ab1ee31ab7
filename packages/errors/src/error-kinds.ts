/** HTTP response to an error of one kind. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number
  /** Sentence for the caller; it must never contain a key. */
  readonly message: string
  /** Whether a retry of the same request can succeed; if so, `retry-after` is sent. */
  readonly retryable: boolean
}

/** All error kinds, each with its HTTP response. */
export const errorResponses = {
  'bad-request': { status: 400, message: 'The request is malformed.', retryable: false },
  'bad-header': { status: 400, message: 'A request header is malformed.', retryable: false },
  'bad-deadline': {
    status: 400,
    message: 'bulrush-deadline must be a whole number of milliseconds within the allowed range.',
    retryable: false,
  },
  'key-missing': { status: 401, message: 'The request carries no key.', retryable: false },
  'key-malformed': { status: 401, message: 'The key is malformed.', retryable: false },
  'key-invalid': { status: 401, message: 'The key is unknown or withdrawn.', retryable: false },
  'key-wrong-team': {
    status: 403,
    message: 'The queue takes work of another team only.',
    retryable: false,
  },
  'unknown-queue': { status: 404, message: 'There is no such queue.', retryable: false },
  'unknown-path': { status: 404, message: 'There is nothing at this path.', retryable: false },
  'job-unknown': { status: 404, message: 'There is no such job.', retryable: false },
  'job-absent': { status: 410, message: 'There is no such job.', retryable: false },
  'job-cancelled': {
    status: 410,
    message: 'The job was cancelled before it was stored; it does not run.',
    retryable: false,
  },
  'acceptance-unknown': {
    status: 504,
    message: 'The table service did not confirm the job in time; it may have been accepted.',
    retryable: false,
  },
  overloaded: {
    status: 429,
    message: 'The queue has more work than it can finish in time.',
    retryable: true,
  },
  'job-not-in-time': {
    status: 429,
    message:
      'The organisation has more waiting work than can be done in time; this submission was not stored.',
    retryable: true,
  },
  'job-too-large': {
    status: 422,
    message: 'No worker of the pool is large enough for the job.',
    retryable: false,
  },
  'job-limit-exceeded': {
    status: 422,
    message: 'The job exceeds a limit on the size of jobs.',
    retryable: false,
  },
  'job-not-storable': {
    status: 422,
    message: 'The table service rejects the job, and would reject it again.',
    retryable: false,
  },
  'sender-too-slow': {
    status: 408,
    message: 'The request body did not arrive in time.',
    retryable: false,
  },
  'idempotency-key-reused': {
    status: 422,
    message: 'The idempotency key was used with a different request.',
    retryable: false,
  },
  'already-finished': {
    status: 409,
    message: 'The request finished earlier; its answer was too large to keep.',
    retryable: false,
  },
  'outcome-unknown': {
    status: 409,
    message: 'An earlier attempt may have run; its outcome is not known.',
    retryable: false,
  },
  'body-too-large': { status: 413, message: 'The request body is too large.', retryable: false },
  'header-too-large': {
    status: 431,
    message: 'The request headers are too large.',
    retryable: false,
  },
  'team-limit-reached': {
    status: 429,
    message: 'The team already runs as much as its upper limit allows.',
    retryable: true,
  },
  'queue-full': { status: 503, message: 'The queue is full.', retryable: true },
  'submissions-full': {
    status: 503,
    message: 'This entry host is handling as many submissions as its memory allows.',
    retryable: true,
  },
  'client-limit-reached': {
    status: 429,
    message: 'The client address has as many requests in progress as it may have.',
    retryable: true,
  },
  'host-limit-reached': {
    status: 503,
    message: 'This entry host has as many requests in progress as its memory allows.',
    retryable: true,
  },
  'deadline-too-short': {
    status: 503,
    message: 'The expected wait is longer than the deadline allows.',
    retryable: true,
  },
  'no-upstream': { status: 503, message: 'No runner can take the request.', retryable: true },
  'view-expired': {
    status: 503,
    message: 'This entry host cannot confirm that its configuration is current.',
    retryable: true,
  },
  'shutting-down': { status: 503, message: 'This entry host is shutting down.', retryable: true },
  'store-unavailable': {
    status: 503,
    message: 'The table service does not answer.',
    retryable: true,
  },
  'deadline-passed': {
    status: 504,
    message: 'The deadline passed before the request was done.',
    retryable: false,
  },
  'upstream-failed': {
    status: 502,
    message: 'The connection to the upstream failed.',
    retryable: false,
  },
  'upstream-timeout': {
    status: 504,
    message: 'The upstream made no progress in time.',
    retryable: false,
  },
  'answer-cut': { status: 502, message: "The upstream's answer was cut.", retryable: false },
  'answer-mismatched': {
    status: 502,
    message: 'The upstream answered another request.',
    retryable: false,
  },
  'caller-left': {
    status: 499,
    message: 'The caller closed the connection.',
    retryable: false,
  },
  'operator-unauthorised': {
    status: 401,
    message: 'The operator credential is missing or unknown.',
    retryable: false,
  },
  'document-invalid': { status: 400, message: 'The document is invalid.', retryable: false },
  'not-proved': {
    status: 409,
    message: 'This document has not been proved in trial.',
    retryable: false,
  },
  'version-conflict': {
    status: 409,
    message: 'The configuration has changed since it was read.',
    retryable: false,
  },
  'unknown-object': { status: 404, message: 'There is no such object.', retryable: false },
  internal: { status: 500, message: 'The entry host failed.', retryable: false },
} as const satisfies Record<string, ErrorResponse>

/** A key of {@link errorResponses}. */
export type ErrorKind = keyof typeof errorResponses
