import { createAdmission, type Admission, type AdmissionRequest } from '@bulrushbridge/admission'
import type { EnvironmentConfiguration, ServiceDefinition } from '@bulrushbridge/contract'
import { RequestError, type Clock } from '@bulrushbridge/errors'
import type { Permit, TeamPermits } from '@bulrushbridge/team-limit'
import { createFairQueue, createFleetShare, type FleetShare } from '@bulrushbridge/team-share'
import type { Tracing } from '@bulrushbridge/telemetry'
import {
  createUpstreamClient,
  type UpstreamResponse,
  type UpstreamRequest,
} from '@bulrushbridge/upstream-link'
import {
  createRetryBudget,
  createRouter,
  dispatch,
  computeRunnerQuotas,
  maxRequestsPerRunner,
  type Reservation,
  type Router,
  type RoutingDecision,
} from '@bulrushbridge/upstream-routing'
import type { TeamPoolDemand } from './peer-load.js'
import { traceAttempt } from './trace-attempt.js'

/**
 * Interval at which this entry host recomputes its part of the service's slots, in milliseconds.
 */
const shareUpdateIntervalMs = 100

/** A request for a service; `deadline` is a time on the clock of the entry host. */
export interface ServiceRequest {
  requestId: string
  team: string
  /** Absent for a request without a key on an open queue. */
  keyId?: string
  deadline: number
  idempotent: boolean
  signal: AbortSignal
}

/** A request that may be sent now. It holds a runner's slot and a permit of its team. */
export interface AdmittedCall {
  /** Sends the request; releases the slot and the permit once its work has ended. */
  dispatch(
    req: UpstreamRequest & { idempotent: boolean },
    beforeWrite: () => void,
  ): Promise<UpstreamResponse>
  /** Releases the slot and the permit without sending the request. */
  cancel(): void
}

/** Queues the requests for one service at this entry host and sends them to its runners. */
export interface ServiceGateway {
  enter(req: ServiceRequest): Promise<AdmittedCall>
  configure(cfg: EnvironmentConfiguration): void
  /** Replaces the demand for this service that a peer reported last. */
  setPeerDemand(member: string, demand: TeamPoolDemand[]): void
  setPeerLoad(load: ReadonlyMap<string, number>): void
  setHosts(hosts: { leaving: string[]; unlisted: string[] }): void
  /** Starts the queued requests that can start; call it after a permit became free. */
  startQueued(): void
  /** Refuses the queued requests whose key is no longer in force. */
  refuseWithdrawnKeys(isCurrent: (keyId: string) => boolean): void
  demand(): TeamPoolDemand[]
  load(): Map<string, number>
  /** Waits until the queue is empty and all requests have ended, then closes the connections. */
  close(): Promise<void>
}

/** Options of {@link createServiceGateway}. */
export interface ServiceGatewayOptions {
  service: ServiceDefinition
  member: { id: string; zone: string }
  clock: Clock
  rng: () => number
  permits: TeamPermits
  tracing: Tracing
  /**
   * Returns the number of the current period; rounding favours another entry host in each period.
   * All entry hosts must use the same numbers.
   */
  rotation?: () => number
  onDecision: (decision: RoutingDecision) => void
}

/** What an admitted request holds. */
interface CallReservation {
  slot: Reservation
  permit: Permit
  /** Second permit of a trial, for a repetition at another runner when the trial takes too long. */
  retryPermit?: Permit
}

/**
 * Creates the gateway from this entry host to the runners of one service.
 *
 * @example
 * const admitted = await gateway.enter({ requestId, team, keyId, deadline, signal })
 * const answer = await admitted.dispatch(req, assertMayStart)
 */
export function createServiceGateway(opts: ServiceGatewayOptions): ServiceGateway {
  return new RoutedServiceGateway(opts)
}

class RoutedServiceGateway implements ServiceGateway {
  readonly #opts: ServiceGatewayOptions
  readonly #router: Router
  readonly #admission: Admission<CallReservation>
  readonly #share: FleetShare
  readonly #retryBudget
  readonly #timer: NodeJS.Timeout
  #shares: ReadonlyMap<string, number> = new Map()
  #service: ServiceDefinition
  #zonesOut: string[] = []
  #running = 0

  constructor(opts: ServiceGatewayOptions) {
    this.#opts = opts
    this.#service = opts.service
    const { clock, rng } = opts
    this.#router = createRouter({
      service: opts.service,
      zone: opts.member.zone,
      rng,
      clock,
      createClient: createUpstreamClient,
      onDecision: opts.onDecision,
    })
    this.#retryBudget = createRetryBudget({ clock })
    const queue = createFairQueue({ shares: this.#shares, clock })
    this.#share = createFleetShare({
      member: opts.member.id,
      queue,
      clock,
      slots: () => this.#runnersInService().length * maxRequestsPerRunner(this.#service.slots),
      shares: () => this.#shares,
      demand: () => this.#admission.demand(),
      ...(opts.rotation === undefined ? {} : { roundingPeriod: opts.rotation }),
    })
    this.#admission = createAdmission<CallReservation>({
      pool: opts.service.name,
      clock,
      rng,
      slots: () => this.#slotsInService(),
      free: () => Math.min(this.#router.freeSlots(), this.#share.slots() - this.#running),
      tryStart: team => this.#tryStart(team),
      tryBypassQueue: req => this.#tryTrial(req),
      queue,
      shares: () => this.#shares,
    })
    this.#router.onSlotFree(() => {
      this.#admission.startQueued('slot')
    })
    this.#timer = setInterval(() => {
      this.#updateShare()
    }, shareUpdateIntervalMs)
  }

  async enter(req: ServiceRequest): Promise<AdmittedCall> {
    const { clock, tracing } = this.#opts
    const enteredAt = clock.now()
    const admitted = await this.#admission.enter(req)
    const startedAt = clock.now()
    const { permit, slot } = admitted.reservation
    let { retryPermit } = admitted.reservation
    const releaseAll = () => {
      this.#running -= 1
      admitted.end()
      slot.release()
      permit.release()
      retryPermit?.release()
      this.#admission.startQueued('slot')
    }
    const takePermit = () => {
      const taken = retryPermit ?? this.#opts.permits.tryAcquire(req.team)
      retryPermit = undefined
      return taken
    }
    return {
      cancel: releaseAll,
      dispatch: ({ idempotent, ...upstreamRequest }, beforeWrite) => {
        const waitEndedAgoMs = clock.now() - startedAt
        tracing
          .startSpanIfSampled(
            'internal',
            'queue',
            upstreamRequest.traceparent,
            clock.now() - enteredAt,
          )
          ?.end(Date.now() - waitEndedAgoMs)
        const { response, settled } = dispatch({
          router: this.#router,
          req: upstreamRequest,
          idempotent,
          retryBudget: this.#retryBudget,
          beforeWrite,
          clock,
          reservation: slot,
          takePermit,
          startAttemptTrace: runner => traceAttempt(tracing, runner, upstreamRequest.traceparent),
        })
        void settled.then(releaseAll)
        return response
      },
    }
  }

  configure(cfg: EnvironmentConfiguration): void {
    const service = cfg.services[this.#service.name]
    if (service === undefined) return
    this.#service = service
    this.#zonesOut = cfg.zonesOut
    this.#shares = new Map(Object.values(cfg.teams).map(({ name, share }) => [name, share]))
    this.#router.setRunners(service.runners)
    this.#router.setZonesOut(cfg.zonesOut)
    this.#updateShare()
  }

  setPeerDemand(member: string, demand: TeamPoolDemand[]): void {
    this.#share.report(member, demand)
  }

  setPeerLoad(load: ReadonlyMap<string, number>): void {
    this.#router.setPeerLoad(load)
  }

  setHosts({ leaving, unlisted }: { leaving: string[]; unlisted: string[] }): void {
    this.#router.setLeavingHosts(leaving)
    this.#router.setUnlistedHosts(unlisted)
  }

  startQueued(): void {
    this.#admission.startQueued()
  }

  refuseWithdrawnKeys(isCurrent: (keyId: string) => boolean): void {
    const isWithdrawn = ({ keyId }: { keyId?: string }) => keyId !== undefined && !isCurrent(keyId)
    this.#admission.refuseWhere(isWithdrawn, () => new RequestError('key-invalid'))
  }

  demand(): TeamPoolDemand[] {
    return this.#admission.demand().map(entry => ({ pool: this.#service.name, ...entry }))
  }

  load(): Map<string, number> {
    return this.#router.inFlightByRunner()
  }

  async close(): Promise<void> {
    await this.#admission.close()
    await this.#router.close()
    clearInterval(this.#timer)
  }

  #runnersInService(): ServiceDefinition['runners'] {
    return this.#service.runners.filter(({ zone }) => !this.#zonesOut.includes(zone))
  }

  #slotsInService(): number {
    return this.#runnersInService().length * this.#service.slots
  }

  #updateShare(): void {
    const { members, spare } = this.#share.update()
    const runners = this.#runnersInService().map(({ id }) => id)
    const { id: member } = this.#opts.member
    this.#router.setRunnerQuotas(
      spare < 1 ? computeRunnerQuotas({ members, member, runners }) : undefined,
    )
    this.#admission.startQueued()
  }

  /**
   * Takes the permit first: a team at its limit has none, and a slot, which is worth more than a
   * permit then, is not reserved in vain.
   */
  #tryStart(team: string): CallReservation | 'no-slot' | 'no-permit' {
    const permit = this.#opts.permits.tryAcquire(team)
    if (permit === undefined) return 'no-permit'
    const slot = this.#router.reserve({ idempotent: false })
    if (slot === undefined) {
      permit.release()
      return 'no-slot'
    }
    this.#running += 1
    return { slot, permit }
  }

  /**
   * Reserves a slot for a trial of an ejected runner. A trial needs a second permit, so that the
   * request can be repeated at another runner before its deadline.
   */
  #tryTrial({ team, idempotent, deadline }: AdmissionRequest): CallReservation | undefined {
    const leftMs = deadline - this.#opts.clock.now()
    if (idempotent !== true || !this.#router.isTrialDue(leftMs)) return undefined
    const permit = this.#opts.permits.tryAcquire(team)
    const retryPermit = this.#opts.permits.tryAcquire(team)
    const slot = permit && retryPermit && this.#router.reserve({ idempotent })
    if (permit && retryPermit && slot?.isTrial === true) {
      this.#running += 1
      return { slot, permit, retryPermit }
    }
    slot?.release()
    permit?.release()
    retryPermit?.release()
    return undefined
  }
}
