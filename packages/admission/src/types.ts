import type { Clock, RequestError } from '@bulrushbridge/errors'
import type { FairQueue, TeamDemand } from '@bulrushbridge/team-share'

/** Why a team cannot start a request now: no slot for any team, no permit, or another reason. */
export type StartRefusal = 'no-slot' | 'no-permit' | 'blocked'

/** A request that asks to start. Times in milliseconds on the options' clock. */
export interface EntryRequest {
  team: string
  deadline: number
  requestId: string
  /** Id of the key that came with it, for {@link Admission.refuseWhere}. */
  keyId?: string
  /** Whether it may run twice; only such a request may be the trial of an ejected runner. */
  idempotent?: boolean
  /** Removes the request from the queue when the caller leaves. */
  signal?: AbortSignal
}

/** Permission to start now. The holder must call `end` once the work has ended. */
export interface Start<R> {
  /** What `tryStart` reserved; the entry host releases it and then calls `pump`. */
  readonly reservation: R
  readonly team: string
  /** Records the end of the work and corrects its cost; later calls do nothing. */
  end(): void
}

/** One timer of the event loop, replaced in tests. */
export interface Timers {
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
  /** Slots of all the pool's runners in service; 0 refuses with `no-upstream`. */
  slots: () => number
  /** Slots on which this entry host may start a request now. */
  free: () => number
  /** Reserves a runner's slot and a permit for the team, or says why not. Must not throw. */
  tryStart: (team: string) => R | StartRefusal
  /**
   * Reserves a slot that queued requests cannot use, such as a trial of an ejected runner, for a
   * newcomer that then passes the queue. Must not throw.
   */
  tryPassQueue?: (req: EntryRequest) => R | undefined
  /** Order of the teams. */
  queue: FairQueue
  /** Weights that bound each team's part of the queue; a new map when they change. */
  shares: () => ReadonlyMap<string, number>
  /**
   * Order within a team; `arrival` unless given. In a burst, earliest deadline first gave the same
   * goodput and a 99th percentile about a quarter longer (bench/share-and-burst.ts).
   */
  order?: 'deadline' | 'arrival'
  timers?: Timers
}

/** The bounded queue in front of a pool's runners. */
export interface Admission<R> {
  /** Resolves when the request may start; rejects with a RequestError of outcome `not-run`. */
  enter(req: EntryRequest): Promise<Start<R>>
  /**
   * Starts what can start. Call when a slot or permit frees or an allocation or view changes;
   * `slot` skips teams that were out of permits.
   */
  pump(freed?: 'slot'): void
  /** Refuses the queued requests that match; returns their number. */
  refuseWhere(matches: (req: EntryRequest) => boolean, err: () => RequestError): number
  withdrawTeam(team: string, err: () => RequestError): number
  /** Running and waiting requests of teams that have any. */
  demand(): TeamDemand[]
  /** Takes no new request and resolves when the queue is empty. */
  close(): Promise<void>
  /** Takes no new request and refuses the queued ones. */
  abort(): void
}
