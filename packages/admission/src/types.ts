import type { Clock, RequestError } from '@bulrushbridge/errors'
import type { FairQueue, TeamDemand } from '@bulrushbridge/team-share'

/**
 * Why a team cannot start a request now: no slot is free for any team, the team has no permit, or
 * another reason blocks the team.
 */
export type StartRefusal = 'no-slot' | 'no-permit' | 'blocked'

/** A request that asks for admission. Times are in milliseconds of the clock in the options. */
export interface AdmissionRequest {
  team: string
  deadline: number
  requestId: string
  /** Id of the key that the request carried, for {@link Admission.refuseWhere}. */
  keyId?: string
  /** Whether the request may run twice; only then may it be the trial of an ejected runner. */
  idempotent?: boolean
  /** Aborted when the caller disconnects; removes the request from the queue. */
  signal?: AbortSignal
}

/** A request that may start now. The receiver must call `end` once the work has ended. */
export interface AdmittedRequest<R> {
  /** What `tryStart` reserved. The entry host releases it and then starts queued requests. */
  readonly reservation: R
  readonly team: string
  /** Replaces the estimated cost of the request by the actual one; later calls do nothing. */
  end(): void
}

/** Functions that set and clear a timer; tests replace them. */
export interface AdmissionTimers {
  set(fn: () => void, delayMs: number): unknown
  clear(timer: unknown): void
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions<R extends object> {
  /** Name for error messages. */
  pool: string
  clock: Clock
  /** Uniform in [0, 1). */
  rng: () => number
  /** Number of slots of all the pool's runners in service; 0 refuses with `no-upstream`. */
  slots: () => number
  /** Number of slots on which this entry host may start a request now. */
  free: () => number
  /**
   * Reserves a runner's slot and a permit for the team, or returns why it cannot. Must not throw.
   */
  tryStart: (team: string) => R | StartRefusal
  /**
   * Reserves a slot that queued requests cannot use, such as a trial of an ejected runner, for a
   * new request, which then starts without queueing. Must not throw.
   */
  tryBypassQueue?: (req: AdmissionRequest) => R | undefined
  /** Order in which teams are served. */
  queue: FairQueue
  /** Weights from which each team's queue quota follows; a new map whenever they change. */
  shares: () => ReadonlyMap<string, number>
  /**
   * Order within a team; `arrival` unless given. In a burst, serving the earliest deadline first
   * gave the same goodput, and a 99th percentile of the latency that was longer by about a quarter
   * (bench/share-and-burst.ts).
   */
  order?: 'deadline' | 'arrival'
  timers?: AdmissionTimers
}

/** The bounded queue in front of a pool's runners. */
export interface Admission<R> {
  /** Resolves when the request may start; rejects with a RequestError of outcome `not-run`. */
  enter(req: AdmissionRequest): Promise<AdmittedRequest<R>>
  /**
   * Starts the queued requests that can start. Call it when a slot or a permit becomes free, or
   * when the slot allocation or the configuration changes; `slot` skips the teams that are blocked,
   * for example for lack of a permit.
   */
  startQueued(freed?: 'slot'): void
  /** Refuses the queued requests that match; returns their number. */
  refuseWhere(matches: (req: AdmissionRequest) => boolean, err: () => RequestError): number
  /** Refuses the queued requests of a team; returns their number. */
  refuseTeam(team: string, err: () => RequestError): number
  /** Numbers of running and waiting requests, for the teams that have any. */
  demand(): TeamDemand[]
  /** Stops taking new requests; resolves when the queue is empty. */
  close(): Promise<void>
  /** Stops taking new requests and refuses the queued ones. */
  abort(): void
}
