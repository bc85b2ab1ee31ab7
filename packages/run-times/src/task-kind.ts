import { hash } from 'node:crypto'

/** What is known of a task before it runs, and what makes it similar to others. */
export interface TaskKind {
  queue: string
  /** Tasks of the same image behave alike; undefined if the submitter names none. */
  image?: string | undefined
  /** Processor time that the task needs, in thousandths of a core. */
  cpuMillis: number
  /** The submitter's estimate of the run time, in milliseconds. */
  declaredMs: number
}

/** Keys of a kind of tasks, from the coarsest level to the finest one. */
export type LevelKeys = readonly [queue: string, ...finer: string[]]

/**
 * Names of this form are part of keys as they are. Others are hashed, so that a key takes a bounded
 * number of bytes in a row and never contains the separator.
 */
const plainName = /^[\w.:/@+-]{0,48}$/

/** Most kinds of tasks whose keys are kept, so that image names from callers take bounded memory. */
const maxCachedKinds = 2_048

/**
 * Creates a function like {@link levelKeysOf} that keeps the keys of kinds that it was called with: a
 * placement pass asks for the same kinds thousands of times.
 */
export function createLevelKeyCache(): (kind: TaskKind) => LevelKeys {
  const byQueue = new Map<string, Map<string, Map<number, LevelKeys>>>()
  let cached = 0
  return kind => {
    const { queue, image = '', cpuMillis } = kind
    const size = image === '' ? 0 : sizeClass(cpuMillis)
    const known = byQueue.get(queue)?.get(image)?.get(size)
    if (known !== undefined) return known
    if (cached >= maxCachedKinds) {
      byQueue.clear()
      cached = 0
    }
    const keys = levelKeysOf(kind)
    const byImage = byQueue.get(queue) ?? new Map<string, Map<number, LevelKeys>>()
    const bySize = byImage.get(image) ?? new Map<number, LevelKeys>()
    byQueue.set(queue, byImage.set(image, bySize.set(size, keys)))
    cached += 1
    return keys
  }
}

/**
 * Returns the keys under which runs of a kind of tasks are counted: its queue, its queue and image, and
 * its queue, image and size class. A kind without an image has only the key of its queue, because
 * nothing says that its tasks are alike.
 */
export function levelKeysOf({ queue, image, cpuMillis }: TaskKind): LevelKeys {
  const queueKey = keyPart(queue)
  if (image === undefined || image === '') return [queueKey]
  const imageKey = `${queueKey}|${keyPart(image)}`
  return [queueKey, imageKey, `${imageKey}|${sizeClass(cpuMillis)}`]
}

/** Size class of a task: the power of two that is nearest to its cores. */
function sizeClass(cpuMillis: number): number {
  return Math.round(Math.log2(Math.max(1, cpuMillis) / 1_000))
}

function keyPart(name: string): string {
  return plainName.test(name) ? name : `#${hash('sha256', name, 'hex').slice(0, 24)}`
}
