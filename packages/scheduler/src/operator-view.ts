import type { Configuration } from './configuration.js'
import type { Wave } from './runner.js'

/** A row of the operators' table. */
export interface OperatorRow {
  key: string
  value: unknown
  isDeleted: boolean
}

/** How the rows of operators are read. */
export interface OperatorDecoders {
  configurationKey: string
  configuration(value: unknown): Configuration | undefined
  zoneOut(key: string): string | undefined
  wave(key: string, value: unknown): Wave | undefined
}

/** A wave with the time at which this host learned of it, on its own clock. */
export interface KnownWave extends Wave {
  seenAt: number
}

/** What operators have asked for, as far as this host knows. */
export interface OperatorView {
  configuration(): Configuration | undefined
  /** Organisation by key; empty before the first configuration. */
  organisationOf(key: string): string | undefined
  zonesOut(): ReadonlySet<string>
  waves(): readonly KnownWave[]
  applySnapshot(rows: readonly OperatorRow[]): void
  applyChanges(rows: readonly OperatorRow[]): void
  /** Calls back after each change; returns a function that ends this. */
  onChange(listener: () => void): () => void
}

/** Options of {@link createOperatorView}. */
export interface OperatorViewOptions {
  decoders: OperatorDecoders
  /** Told of each adopted change, for the log. */
  onAdopted: (what: 'configuration' | 'zones-out' | 'waves', fields: Record<string, number>) => void
  onUnreadable: (key: string) => void
  now?: () => number
}

/**
 * Creates the view of what operators have asked for. A configuration that is older than the one in
 * force is never adopted, whatever order rows arrive in.
 *
 * @example
 * const view = createOperatorView({ decoders, onAdopted, onUnreadable })
 */
export function createOperatorView(opts: OperatorViewOptions): OperatorView {
  return new View(opts)
}

class View implements OperatorView {
  readonly #opts: OperatorViewOptions
  readonly #listeners = new Set<() => void>()
  #configuration: Configuration | undefined
  #organisations = new Map<string, string>()
  #zonesOut = new Set<string>()
  #waves = new Map<string, KnownWave>()

  constructor(opts: OperatorViewOptions) {
    this.#opts = opts
  }

  configuration(): Configuration | undefined {
    return this.#configuration
  }

  organisationOf(key: string): string | undefined {
    return this.#organisations.get(key)
  }

  zonesOut(): ReadonlySet<string> {
    return this.#zonesOut
  }

  waves(): readonly KnownWave[] {
    return [...this.#waves.values()]
  }

  applySnapshot(rows: readonly OperatorRow[]): void {
    const keys = new Set(rows.filter(({ isDeleted }) => !isDeleted).map(({ key }) => key))
    for (const zone of [...this.#zonesOut]) {
      if (![...keys].some(key => this.#opts.decoders.zoneOut(key) === zone))
        this.#setZone(zone, false)
    }
    for (const key of [...this.#waves.keys()]) if (!keys.has(key)) this.#waves.delete(key)
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
    const zone = decoders.zoneOut(key)
    if (zone !== undefined) {
      this.#setZone(zone, !isDeleted)
    } else if (key === decoders.configurationKey) {
      const cfg = isDeleted ? undefined : decoders.configuration(value)
      if (cfg === undefined) onUnreadable(key)
      else this.#adopt(cfg)
    } else if (isDeleted) {
      this.#waves.delete(key)
    } else {
      const wave = decoders.wave(key, value)
      if (wave === undefined) onUnreadable(key)
      else this.#addWave(key, wave)
    }
  }

  #adopt(cfg: Configuration): void {
    if (this.#configuration !== undefined && cfg.version <= this.#configuration.version) return
    this.#configuration = cfg
    this.#organisations = new Map(
      cfg.organisations.flatMap(({ name, keys }) => keys.map(key => [key, name])),
    )
    this.#opts.onAdopted('configuration', { version: cfg.version, queues: cfg.queues.length })
  }

  #setZone(zone: string, isOut: boolean): void {
    if (isOut === this.#zonesOut.has(zone)) return
    const zones = new Set(this.#zonesOut)
    if (isOut) zones.add(zone)
    else zones.delete(zone)
    this.#zonesOut = zones
    this.#opts.onAdopted('zones-out', { count: zones.size })
  }

  #addWave(key: string, wave: Wave): void {
    const seenAt =
      this.#waves.get(key)?.seenAt ?? (this.#opts.now ?? performance.now.bind(performance))()
    this.#waves.set(key, { ...wave, seenAt })
    this.#opts.onAdopted('waves', { wave: wave.id, machines: wave.machines.length })
  }
}
