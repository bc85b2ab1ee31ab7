import type { RunnerReport } from './runner.js'

/** Outcome of a call: it took effect, it did not, or this is not known. */
export type CallResult<T> =
  | { outcome: 'done'; value: T }
  | { outcome: 'not-done'; reason: string }
  | { outcome: 'unknown'; reason: string }

/** Identifies one run of a task. */
export interface RunId {
  task: string
  run: number
}

/** An order to start a run. */
export interface StartOrder extends RunId {
  payload: string
  checkpoint: string
  /** Ticket of the advice service; undefined for queues without advice. */
  ticket: string | undefined
  /** Fencing token of the dispatcher's term. */
  fence: number
  /** Deadline of the lease of all runs on the runner, on the clock of the runner. */
  leaseDeadline: number
}

/**
 * Why a runner refused an order, which then had no effect:
 *
 * - `fence`: the runner knows a newer fencing token.
 * - `old`: this run, or a later run of the task, has already ended or been stopped.
 * - `late` and `room`: the dispatcher then polls the runner, to learn its clock and its runs anew.
 * - `ticket`: the ticket of the advice service was not accepted.
 * - `unhealthy`: the runner answered with status 429 or 503.
 * - `malformed`: the runner could not read the order, or gave an unknown reason.
 */
export const orderRefusals = [
  'fence',
  'old',
  'late',
  'room',
  'ticket',
  'unhealthy',
  'malformed',
] as const

/** One of {@link orderRefusals}. */
export type OrderRefusal = (typeof orderRefusals)[number]

/** Answer of a runner to an order. */
export interface RunnerOrderAnswer {
  /** Undefined when the order was accepted. */
  refusal: OrderRefusal | undefined
  /** Reading of the runner's clock. */
  clockMs: number | undefined
}

/** Parameters of a poll of a runner. */
export interface PollRequest {
  fence: number
  /** Acknowledges the ends of runs up to this number. */
  acknowledged: number
  /**
   * New deadline of the lease of all runs on the runner, on its clock; undefined extends nothing.
   */
  leaseDeadline: number | undefined
  /** The runner delays its answer up to this long until a run ends, in milliseconds. */
  waitMs: number
}

/** Answer to a poll; `isFenced` means that the runner knows a newer fencing token. */
export type PollAnswer = { isFenced: true } | { isFenced: false; report: RunnerReport }

/** Calls to one runner. Every order carries the fencing token of the dispatcher's term. */
export interface RunnerApi {
  start(order: StartOrder): Promise<CallResult<RunnerOrderAnswer>>
  stop(order: RunId & { fence: number }): Promise<CallResult<RunnerOrderAnswer>>
  /** Polls the runner for its runs and for ends, and extends its lease. */
  poll(request: PollRequest): Promise<CallResult<PollAnswer>>
  /** Sets the share of its time for which a run works, in percent. */
  pace(order: RunId & { fence: number; percent: number }): Promise<CallResult<RunnerOrderAnswer>>
  close(): Promise<void>
}

/** An order to a machine. Each machine checks the fencing token on its own. */
export interface MachineOrder {
  machine: string
  /** Name of the host that holds the lease. */
  holder: string
  fence: number
}

/** Answer to a machine order. */
export interface MachineAnswer {
  refusal: 'fence' | 'busy' | 'wave' | 'malformed' | undefined
}

/** Calls to the platform about its machines. `M` is the type of a machine in its list. */
export interface MachineApi<M> {
  list(): Promise<CallResult<M[]>>
  move(order: MachineOrder & { pool: string }): Promise<CallResult<MachineAnswer>>
  upkeep(order: MachineOrder & { wave: number }): Promise<CallResult<MachineAnswer>>
  close(): Promise<void>
}

/** A runner that may run a step, with the ticket that proves this. */
export interface AdvisedRunner {
  runnerId: string
  ticket: string
}

/**
 * The advice service, which decides which runners may run a step under the policy of its queue. Its
 * advice is binding: a step runs on no other runner.
 */
export interface AdviceApi {
  advise(step: string, runnerIds: string[]): Promise<CallResult<AdvisedRunner[]>>
  close(): Promise<void>
}
