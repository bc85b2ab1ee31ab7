import type { RunnerReport } from './runner.js'

/** What is known of a call after it: it took effect, it did not, or it may have. */
export type CallResult<T> =
  | { outcome: 'done'; value: T }
  | { outcome: 'not-done'; reason: string }
  | { outcome: 'unknown'; reason: string }

/** Identity of one run of a task. */
export interface RunId {
  task: string
  run: number
}

/** An order to start a run. */
export interface StartOrder extends RunId {
  payload: string
  checkpoint: string
  ticket: string | undefined
  /** Fencing token of the dispatcher's term. */
  fence: number
  /** Lease of everything on the runner, on the runner's clock. */
  leaseDeadline: number
}

/** Why a runner refused an order; nothing was started. */
export type OrderRefusal = 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'unhealthy' | 'malformed'

/** Answer to an order. */
export interface OrderAnswer {
  refusal: OrderRefusal | undefined
  clockMs: number | undefined
}

/** Parameters of a look at a runner. */
export interface HoldOrder {
  fence: number
  /** Ends up to this number are acknowledged. */
  acknowledged: number
  /** Extends the lease of everything on the runner; on the runner's clock. */
  leaseDeadline: number | undefined
  /** The answer waits up to this long for an end. */
  waitMs: number
}

/** Answer to a look at a runner. */
export type HoldAnswer = { isFenced: true } | { isFenced: false; report: RunnerReport }

/** Calls to one runner. */
export interface RunnerApi {
  start(order: StartOrder): Promise<CallResult<OrderAnswer>>
  stop(order: RunId & { fence: number }): Promise<CallResult<OrderAnswer>>
  hold(order: HoldOrder): Promise<CallResult<HoldAnswer>>
  pace(order: RunId & { fence: number; percent: number }): Promise<CallResult<OrderAnswer>>
  close(): Promise<void>
}

/** Order to a machine, fenced for each machine separately. */
export interface MachineOrder {
  machine: string
  holder: string
  fence: number
}

/** Answer to a machine order. */
export interface MachineAnswer {
  refusal: 'fence' | 'busy' | 'wave' | 'malformed' | undefined
}

/** The platform's list of machines and the orders to them. */
export interface MachineApi<M> {
  list(): Promise<CallResult<M[]>>
  move(order: MachineOrder & { pool: string }): Promise<CallResult<MachineAnswer>>
  upkeep(order: MachineOrder & { wave: number }): Promise<CallResult<MachineAnswer>>
  close(): Promise<void>
}

/** A runner that may run a step, with the ticket that shows it. */
export interface AdvisedRunner {
  runnerId: string
  ticket: string
}

/** The service that knows which runners a queue's policy allows. */
export interface AdviceApi {
  advise(step: string, runnerIds: string[]): Promise<CallResult<AdvisedRunner[]>>
  close(): Promise<void>
}
