import type { SchedulerConfiguration } from './configuration.js'
import type { UpkeepWave } from './runner.js'

/** A row of the table that holds the operators' configuration and requests. */
export interface OperatorRow {
  key: string
  value: unknown
  isDeleted: boolean
}

/** Functions that decode the rows of operators; undefined means not of this kind or unreadable. */
export interface OperatorDecoders {
  /** Key of the row with the configuration. */
  configurationKey: string
  configuration(value: unknown): SchedulerConfiguration | undefined
  /** Returns the availability zone that the row with this key withdraws. */
  withdrawnZoneOf(key: string): string | undefined
  wave(key: string, value: unknown): UpkeepWave | undefined
}

/** A wave with the time at which this host first saw it, on the clock of the host. */
export interface KnownWave extends UpkeepWave {
  firstSeenAt: number
}

/** The operators' configuration, withdrawn zones and waves, as far as this host knows them. */
export interface OperatorView {
  configuration(): SchedulerConfiguration | undefined
  /**
   * Returns the organisation of an API key; undefined for an unknown key, and so for every key before
   * the first configuration.
   */
  organisationOf(key: string): string | undefined
  /** Availability zones that operators have withdrawn; nothing new starts there. */
  withdrawnZones(): ReadonlySet<string>
  waves(): readonly KnownWave[]
  applySnapshot(rows: readonly OperatorRow[]): void
  applyChanges(rows: readonly OperatorRow[]): void
  /** Calls the listener after each change; returns a function that removes the listener. */
  onChange(listener: () => void): () => void
}

/** Options of {@link createOperatorView}. */
export interface OperatorViewOptions {
  decoders: OperatorDecoders
  /**
   * Called for the log, for each newer configuration, each zone that is withdrawn or returned, and
   * each row of a wave, even an unchanged one. The removal of a wave calls nothing.
   */
  onApplied: (what: 'configuration' | 'zones-out' | 'waves', fields: Record<string, number>) => void
  /** Called for each row that cannot be decoded. */
  onUnreadable: (key: string) => void
  now?: () => number
}

/**
 * Creates the view of the operators' configuration and requests. A configuration takes effect only
 * if it is newer than the current one, whatever the order in which rows arrive.
 *
 * @example
 * const view = createOperatorView({ decoders, onApplied, onUnreadable })
 */
export function createOperatorView(opts: OperatorViewOptions): OperatorView {
  return new RowOperatorView(opts)
}

class RowOperatorView implements OperatorView {
  readonly #opts: OperatorViewOptions
  readonly #listeners = new Set<() => void>()
  #configuration: SchedulerConfiguration | undefined
  #organisationByKey = new Map<string, string>()
  #withdrawnZones = new Set<string>()
  #wavesByKey = new Map<string, KnownWave>()

  constructor(opts: OperatorViewOptions) {
    this.#opts = opts
  }

  configuration(): SchedulerConfiguration | undefined {
    return this.#configuration
  }

  organisationOf(key: string): string | undefined {
    return this.#organisationByKey.get(key)
  }

  withdrawnZones(): ReadonlySet<string> {
    return this.#withdrawnZones
  }

  waves(): readonly KnownWave[] {
    return [...this.#wavesByKey.values()]
  }

  applySnapshot(rows: readonly OperatorRow[]): void {
    const keys = new Set(rows.filter(({ isDeleted }) => !isDeleted).map(({ key }) => key))
    for (const zone of [...this.#withdrawnZones]) {
      if (![...keys].some(key => this.#opts.decoders.withdrawnZoneOf(key) === zone))
        this.#setZoneWithdrawn(zone, false)
    }
    for (const key of [...this.#wavesByKey.keys()]) if (!keys.has(key)) this.#wavesByKey.delete(key)
    this.applyChanges(rows)
  }

  applyChanges(rows: readonly OperatorRow[]): void {
    for (const row of rows) this.#apply(row)
    for (const listener of this.#listeners) listener()
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  #apply({ key, value, isDeleted }: OperatorRow): void {
    const { decoders, onUnreadable } = this.#opts
    const zone = decoders.withdrawnZoneOf(key)
    if (zone !== undefined) {
      this.#setZoneWithdrawn(zone, !isDeleted)
    } else if (key === decoders.configurationKey) {
      const cfg = isDeleted ? undefined : decoders.configuration(value)
      if (cfg === undefined) onUnreadable(key)
      else this.#applyConfiguration(cfg)
    } else if (isDeleted) {
      this.#wavesByKey.delete(key)
    } else {
      const wave = decoders.wave(key, value)
      if (wave === undefined) onUnreadable(key)
      else this.#addWave(key, wave)
    }
  }

  #applyConfiguration(cfg: SchedulerConfiguration): void {
    if (this.#configuration !== undefined && cfg.version <= this.#configuration.version) return
    this.#configuration = cfg
    this.#organisationByKey = new Map(
      cfg.organisations.flatMap(({ name, keys }) => keys.map(key => [key, name])),
    )
    this.#opts.onApplied('configuration', { version: cfg.version, queues: cfg.queues.length })
  }

  #setZoneWithdrawn(zone: string, isWithdrawn: boolean): void {
    if (isWithdrawn === this.#withdrawnZones.has(zone)) return
    const zones = new Set(this.#withdrawnZones)
    if (isWithdrawn) zones.add(zone)
    else zones.delete(zone)
    this.#withdrawnZones = zones
    this.#opts.onApplied('zones-out', { count: zones.size })
  }

  #addWave(key: string, wave: UpkeepWave): void {
    const firstSeenAt =
      this.#wavesByKey.get(key)?.firstSeenAt ??
      (this.#opts.now ?? performance.now.bind(performance))()
    this.#wavesByKey.set(key, { ...wave, firstSeenAt })
    this.#opts.onApplied('waves', { wave: wave.id, machines: wave.machines.length })
  }
}
