import { build, type Histogram } from 'hdr-histogram-js'

/** Labels of one series. */
export type Labels = Record<string, string>

const quantiles = [0.5, 0.9, 0.99, 0.999] as const

/** Longest duration that a histogram can record; longer ones are counted as this. */
const maxMicroseconds = 3_600_000_000

interface Family<V> {
  help: string
  series: Map<string, V>
}

/** Counters, gauges and latency histograms of one process. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, labels?: Labels, by?: number): void
  /** Registers a gauge that is read at each scrape. */
  gauge(name: string, help: string, read: () => { labels?: Labels; value: number }[]): void
  /** Records a duration in milliseconds. */
  observe(name: string, labels: Labels, ms: number): void
  /** The text exposition format, version 0.0.4. */
  render(): string
}

/**
 * Creates the metrics of a process. Histograms are kept by hdr-histogram and shown as summaries.
 *
 * @example
 * const metrics = createMetrics()
 * metrics.count('bulrush_requests_total', { queue: 'finder', outcome: 'finished' })
 */
export function createMetrics(): Metrics {
  return new ProcessMetrics()
}

class ProcessMetrics implements Metrics {
  readonly #counters = new Map<string, Family<number>>()
  readonly #histograms = new Map<string, Family<{ histogram: Histogram; sumMs: number }>>()
  readonly #gauges = new Map<string, { help: string; read: () => Sample[] }>()

  count(name: string, labels: Labels = {}, by = 1): void {
    const { series } = family(this.#counters, name)
    const key = formatLabels(labels)
    series.set(key, (series.get(key) ?? 0) + by)
  }

  gauge(name: string, help: string, read: () => Sample[]): void {
    this.#gauges.set(name, { help, read })
  }

  observe(name: string, labels: Labels, ms: number): void {
    const { series } = family(this.#histograms, name)
    const key = formatLabels(labels)
    let entry = series.get(key)
    if (entry === undefined) {
      entry = { histogram: build({ numberOfSignificantValueDigits: 2 }), sumMs: 0 }
      series.set(key, entry)
    }
    const micros = Math.min(Math.max(Math.round(ms * 1000), 1), maxMicroseconds)
    entry.histogram.recordValue(micros)
    entry.sumMs += ms
  }

  render(): string {
    return [
      ...this.#renderCounters(),
      ...this.#renderGauges(),
      ...this.#renderHistograms(),
      '',
    ].join('\n')
  }

  *#renderCounters(): Generator<string> {
    for (const [name, { series }] of this.#counters) {
      yield `# TYPE ${name} counter`
      for (const [labels, value] of series) yield `${name}${wrap(labels)} ${value}`
    }
  }

  *#renderGauges(): Generator<string> {
    for (const [name, { help, read }] of this.#gauges) {
      yield `# HELP ${name} ${help}`
      yield `# TYPE ${name} gauge`
      for (const { labels, value } of read()) {
        yield `${name}${wrap(formatLabels(labels ?? {}))} ${value}`
      }
    }
  }

  *#renderHistograms(): Generator<string> {
    for (const [name, { series }] of this.#histograms) {
      yield `# TYPE ${name} summary`
      for (const [labels, { histogram, sumMs }] of series) {
        const prefix = labels === '' ? '' : `${labels},`
        for (const quantile of quantiles) {
          const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6
          yield `${name}{${prefix}quantile="${quantile}"} ${seconds}`
        }
        yield `${name}_sum${wrap(labels)} ${sumMs / 1000}`
        yield `${name}_count${wrap(labels)} ${histogram.totalCount}`
      }
    }
  }
}

interface Sample {
  labels?: Labels
  value: number
}

function family<V>(families: Map<string, Family<V>>, name: string): Family<V> {
  let found = families.get(name)
  if (found === undefined) {
    found = { help: '', series: new Map() }
    families.set(name, found)
  }
  return found
}

function formatLabels(labels: Labels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${value.replaceAll('\\', '\\\\').replaceAll('"', '\\"')}"`)
    .join(',')
}

function wrap(labels: string): string {
  return labels === '' ? '' : `{${labels}}`
}
