import { createAdmission, type Admission, type AdmissionRequest } from '@bulrushbridge/admission'
import type { Configuration, Service } from '@bulrushbridge/contract'
import { RequestError, type Clock } from '@bulrushbridge/errors'
import type { Permit, TeamPermits } from '@bulrushbridge/team-limit'
import { createFairQueue, createFleetShare, type FleetShare } from '@bulrushbridge/team-share'
import type { Tracing } from '@bulrushbridge/telemetry'
import {
  createRunnerLinks,
  type UpstreamAnswer,
  type UpstreamRequest,
} from '@bulrushbridge/upstream-link'
import {
  createRetryBudget,
  createRouter,
  dispatch,
  divideRunners,
  requestsPerRunner,
  type Reservation,
  type Router,
  type RoutingDecision,
} from '@bulrushbridge/upstream-routing'
import type { PoolDemand } from './peer-load.js'
import { traceAttempt } from './trace-attempt.js'

/** Interval of the recomputation of this entry host's part of the slots, in milliseconds. */
const shareUpdateMs = 100

/** A request that asks to start; times on the clock of the entry host. */
export interface StartRequest {
  requestId: string
  team: string
  /** Absent for a request without a key on an open queue. */
  keyId?: string
  deadline: number
  idempotent: boolean
  signal: AbortSignal
}

/** Permission to send one request: a runner's slot and a permit of the team. */
export interface ServiceStart {
  /** Sends the request; the slot and the permit are given back when its work has ended. */
  dispatch(
    req: UpstreamRequest & { idempotent: boolean },
    beforeWrite: () => void,
  ): Promise<UpstreamAnswer>
  /** Gives everything back without sending. */
  cancel(): void
}

/** Queue, shares and runners of one service at this entry host. */
export interface ServicePath {
  enter(req: StartRequest): Promise<ServiceStart>
  configure(cfg: Configuration): void
  /** Takes over a peer's demand for this service. */
  learnDemand(member: string, demand: PoolDemand[]): void
  setPeerLoad(load: ReadonlyMap<string, number>): void
  setHosts(hosts: { leaving: string[]; gone: string[] }): void
  /** Starts what can start, after a permit became free. */
  pump(): void
  /** Refuses the queued requests of keys that are no longer in force. */
  refuseKeys(isCurrent: (keyId: string) => boolean): void
  demand(): PoolDemand[]
  load(): Map<string, number>
  /** Waits for queue and requests, then closes the connections. */
  close(): Promise<void>
}

/** Options of {@link createServicePath}. */
export interface ServicePathOptions {
  service: Service
  member: { id: string; zone: string }
  clock: Clock
  rng: () => number
  permits: TeamPermits
  tracing: Tracing
  /** Numbers the periods in which rounding favours one entry host; the same everywhere. */
  rotation?: () => number
  onDecision: (decision: RoutingDecision) => void
}

interface Held {
  slot: Reservation
  permit: Permit
  /** Permit for the repetition of a trial that takes too long. */
  spare?: Permit
}

/**
 * Creates the path from this entry host to the runners of one service.
 *
 * @example
 * const start = await path.enter({ requestId, team, keyId, deadline, signal })
 * const answer = await start.dispatch(req, assertMayStart)
 */
export function createServicePath(opts: ServicePathOptions): ServicePath {
  return new Path(opts)
}

class Path implements ServicePath {
  readonly #opts: ServicePathOptions
  readonly #router: Router
  readonly #admission: Admission<Held>
  readonly #share: FleetShare
  readonly #retryBudget
  readonly #timer: NodeJS.Timeout
  #shares: ReadonlyMap<string, number> = new Map()
  #service: Service
  #zonesOut: string[] = []
  #running = 0

  constructor(opts: ServicePathOptions) {
    this.#opts = opts
    this.#service = opts.service
    const { clock, rng } = opts
    this.#router = createRouter({
      service: opts.service,
      zone: opts.member.zone,
      rng,
      clock,
      createLinks: createRunnerLinks,
      onDecision: opts.onDecision,
    })
    this.#retryBudget = createRetryBudget({ clock })
    const queue = createFairQueue({ shares: this.#shares, clock })
    this.#share = createFleetShare({
      member: opts.member.id,
      queue,
      clock,
      slots: () => this.#inService().length * requestsPerRunner(this.#service.slots),
      shares: () => this.#shares,
      demand: () => this.#admission.demand(),
      ...(opts.rotation === undefined ? {} : { rotation: opts.rotation }),
    })
    this.#admission = createAdmission<Held>({
      pool: opts.service.name,
      clock,
      rng,
      slots: () => this.#slots(),
      free: () => Math.min(this.#router.free(), this.#share.slots() - this.#running),
      tryStart: team => this.#tryStart(team),
      tryBypassQueue: req => this.#tryTrial(req),
      queue,
      shares: () => this.#shares,
    })
    this.#router.onFree(() => {
      this.#admission.pump('slot')
    })
    this.#timer = setInterval(() => {
      this.#update()
    }, shareUpdateMs)
  }

  async enter(req: StartRequest): Promise<ServiceStart> {
    const { clock, tracing } = this.#opts
    const enteredAt = clock.now()
    const start = await this.#admission.enter(req)
    const startedAt = clock.now()
    const { permit, slot } = start.reservation
    let { spare } = start.reservation
    const giveBack = () => {
      this.#running -= 1
      start.end()
      slot.release()
      permit.release()
      spare?.release()
      this.#admission.pump('slot')
    }
    const takePermit = () => {
      const taken = spare ?? this.#opts.permits.tryTake(req.team)
      spare = undefined
      return taken
    }
    return {
      cancel: giveBack,
      dispatch: ({ idempotent, ...sent }, beforeWrite) => {
        const waitEndedAgoMs = clock.now() - startedAt
        tracing
          .startSampled('internal', 'queue', sent.traceparent, clock.now() - enteredAt)
          ?.end(Date.now() - waitEndedAgoMs)
        const { answer, settled } = dispatch({
          router: this.#router,
          req: sent,
          idempotent,
          retryBudget: this.#retryBudget,
          beforeWrite,
          clock,
          reservation: slot,
          takePermit,
          startAttempt: runner => traceAttempt(tracing, runner, sent.traceparent),
        })
        void settled.then(giveBack)
        return answer
      },
    }
  }

  configure(cfg: Configuration): void {
    const service = cfg.services[this.#service.name]
    if (service === undefined) return
    this.#service = service
    this.#zonesOut = cfg.zonesOut
    this.#shares = new Map(Object.values(cfg.teams).map(({ name, share }) => [name, share]))
    this.#router.setRunners(service.runners)
    this.#router.setZonesOut(cfg.zonesOut)
    this.#update()
  }

  learnDemand(member: string, demand: PoolDemand[]): void {
    this.#share.report(member, demand)
  }

  setPeerLoad(load: ReadonlyMap<string, number>): void {
    this.#router.setPeerLoad(load)
  }

  setHosts({ leaving, gone }: { leaving: string[]; gone: string[] }): void {
    this.#router.setLeaving(leaving)
    this.#router.setGone(gone)
  }

  pump(): void {
    this.#admission.pump()
  }

  refuseKeys(isCurrent: (keyId: string) => boolean): void {
    const isWithdrawn = ({ keyId }: { keyId?: string }) => keyId !== undefined && !isCurrent(keyId)
    this.#admission.refuseWhere(isWithdrawn, () => new RequestError('key-invalid'))
  }

  demand(): PoolDemand[] {
    return this.#admission.demand().map(entry => ({ pool: this.#service.name, ...entry }))
  }

  load(): Map<string, number> {
    return this.#router.load()
  }

  async close(): Promise<void> {
    await this.#admission.close()
    await this.#router.close()
    clearInterval(this.#timer)
  }

  #inService(): Service['runners'] {
    return this.#service.runners.filter(({ zone }) => !this.#zonesOut.includes(zone))
  }

  #slots(): number {
    return this.#inService().length * this.#service.slots
  }

  #update(): void {
    const { members, spare } = this.#share.update()
    const runners = this.#inService().map(({ id }) => id)
    const { id: member } = this.#opts.member
    this.#router.setParts(spare < 1 ? divideRunners({ members, member, runners }) : undefined)
    this.#admission.pump()
  }

  /** Takes the permit first: a slot is worth more than a permit while a team is at its limit. */
  #tryStart(team: string): Held | 'no-slot' | 'no-permit' {
    const permit = this.#opts.permits.tryTake(team)
    if (permit === undefined) return 'no-permit'
    const slot = this.#router.reserve({ idempotent: false })
    if (slot === undefined) {
      permit.release()
      return 'no-slot'
    }
    this.#running += 1
    return { slot, permit }
  }

  /** A trial needs a second permit, so that it can be repeated elsewhere before its deadline. */
  #tryTrial({ team, idempotent, deadline }: AdmissionRequest): Held | undefined {
    const leftMs = deadline - this.#opts.clock.now()
    if (idempotent !== true || !this.#router.isTrialDue(leftMs)) return undefined
    const permit = this.#opts.permits.tryTake(team)
    const spare = this.#opts.permits.tryTake(team)
    const slot = permit && spare && this.#router.reserve({ idempotent })
    if (permit && spare && slot?.isTrial === true) {
      this.#running += 1
      return { slot, permit, spare }
    }
    slot?.release()
    permit?.release()
    spare?.release()
    return undefined
  }
}
