import { build, type Histogram } from 'hdr-histogram-js'

/** Labels of one time series. */
export type Labels = Record<string, string>

const quantiles = [0.5, 0.9, 0.99, 0.999] as const

/** Longest duration that a histogram can record; longer durations are recorded as this one. */
const maxMicroseconds = 3_600_000_000

/** All series of one metric name; the keys of `series` are formatted labels. */
interface MetricFamily<V> {
  help: string
  series: Map<string, V>
}

/** Counters, gauges and latency histograms of one process. */
export interface Metrics {
  /** Increases a counter by `by`, which is 1 by default. */
  count(name: string, labels?: Labels, by?: number): void
  /** Registers a gauge whose value is read at each scrape. */
  gauge(name: string, help: string, read: () => { labels?: Labels; value: number }[]): void
  /** Records a duration in milliseconds. */
  observe(name: string, labels: Labels, ms: number): void
  /** Formats all metrics in the Prometheus text exposition format, version 0.0.4. */
  render(): string
}

/**
 * Creates the metrics of a process. Durations are recorded by hdr-histogram and exposed as
 * summaries.
 *
 * @example
 * const metrics = createMetrics()
 * metrics.count('bulrush_requests_total', { queue: 'finder', outcome: 'finished' })
 */
export function createMetrics(): Metrics {
  return new ProcessMetrics()
}

class ProcessMetrics implements Metrics {
  readonly #counters = new Map<string, MetricFamily<number>>()
  readonly #histograms = new Map<string, MetricFamily<{ histogram: Histogram; sumMs: number }>>()
  readonly #gauges = new Map<string, { help: string; read: () => Sample[] }>()

  count(name: string, labels: Labels = {}, by = 1): void {
    const { series } = getOrCreateFamily(this.#counters, name)
    const key = formatLabels(labels)
    series.set(key, (series.get(key) ?? 0) + by)
  }

  gauge(name: string, help: string, read: () => Sample[]): void {
    this.#gauges.set(name, { help, read })
  }

  observe(name: string, labels: Labels, ms: number): void {
    const { series } = getOrCreateFamily(this.#histograms, name)
    const key = formatLabels(labels)
    let entry = series.get(key)
    if (entry === undefined) {
      entry = { histogram: build({ numberOfSignificantValueDigits: 2 }), sumMs: 0 }
      series.set(key, entry)
    }
    const microseconds = Math.min(Math.max(Math.round(ms * 1000), 1), maxMicroseconds)
    entry.histogram.recordValue(microseconds)
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
      for (const [labels, value] of series) yield `${name}${formatLabelSet(labels)} ${value}`
    }
  }

  *#renderGauges(): Generator<string> {
    for (const [name, { help, read }] of this.#gauges) {
      yield `# HELP ${name} ${help}`
      yield `# TYPE ${name} gauge`
      for (const { labels, value } of read()) {
        yield `${name}${formatLabelSet(formatLabels(labels ?? {}))} ${value}`
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
        yield `${name}_sum${formatLabelSet(labels)} ${sumMs / 1000}`
        yield `${name}_count${formatLabelSet(labels)} ${histogram.totalCount}`
      }
    }
  }
}

interface Sample {
  labels?: Labels
  value: number
}

function getOrCreateFamily<V>(
  families: Map<string, MetricFamily<V>>,
  name: string,
): MetricFamily<V> {
  let existing = families.get(name)
  if (existing === undefined) {
    existing = { help: '', series: new Map() }
    families.set(name, existing)
  }
  return existing
}

function formatLabels(labels: Labels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${value.replaceAll('\\', '\\\\').replaceAll('"', '\\"')}"`)
    .join(',')
}

function formatLabelSet(labels: string): string {
  return labels === '' ? '' : `{${labels}}`
}
