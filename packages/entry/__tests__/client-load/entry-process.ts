import { countDescriptors, createTestbed, peakResidentMb, until } from '@bulrushbridge/testbed'
import type { Test } from 'tap'

/**
 * Heap limit of the process under load, in megabytes. It is far below that of a deployment, so that a
 * few clients show unbounded growth within seconds.
 */
const maxHeapMb = 64

/** Size of the semi-spaces of the heap, in megabytes. */
const maxSemiSpaceMb = 4

/** Limits that are lowered with the heap. */
const loweredLimits = {
  BULRUSH_MAX_CONNECTIONS: '200',
  BULRUSH_MAX_ADDRESS_CONNECTIONS: '180',
  BULRUSH_MAX_INTERNAL_CONNECTIONS: '25',
  BULRUSH_MAX_REQUESTS: '1024',
  BULRUSH_MAX_ADDRESS_REQUESTS: '960',
  BULRUSH_MAX_UNREAD_RESPONSES: '1024',
  BULRUSH_MAX_UNPARSED_BYTES: '4000000',
  BULRUSH_MAX_BUFFERED_BODY_BYTES: '16000000',
}

/** Descriptors that the process may open; an entry host has 4,100 or more. */
const maxOpenFiles = 400

/** Most resident memory that the process may have had at any time; it has 110 to 130 MB when idle. */
const maxResidentMb = 200

/** Time for an ordinary request; it only ends a test whose process hangs. */
const requestTimeoutMs = 15_000

/**
 * Statuses of an ordinary request that is sent again: no response, rejected, and not started by its
 * deadline, as a runner's slot is taken until the work of a request that was cut off has ended.
 */
const passingStatuses: ReadonlySet<number> = new Set([0, 429, 503, 504])

/** A running `bulrush-entry` with its stand-ins. */
export interface EntryProcess {
  /** `IP` and port of each of its servers. */
  readonly ip: string
  readonly ports: { callers: number; operators: number; peers: number }
  /** Header lines that an ordinary request has. */
  readonly usualHeaders: string
  /** Stops reading its log. */
  stopReadingLog(): void
  /**
   * Checks what holds after any load: the process is alive, its memory and descriptors stayed under
   * their bounds, it is ready, and it answers one ordinary request.
   */
  checkAfterLoad(t: Test): Promise<void>
}

/** Starts an entry host with one service, two runners and the queues of the sample document. */
export async function startEntry(t: Test): Promise<EntryProcess> {
  const testbed = await createTestbed({
    entryHosts: 1,
    runners: 2,
    env: loweredLimits,
    processLimits: { maxHeapMb, maxSemiSpaceMb, maxOpenFiles },
  })
  t.teardown(() => testbed.close())
  const [entry] = testbed.entries
  if (entry === undefined) throw new Error('the testbed has no entry host')
  const { program } = entry
  const { process: child, readyOutput } = program
  const pid = child.pid ?? 0
  const portOf = (address = '') => Number(address.split(':')[1])
  const isRunning = () => child.exitCode === null && child.signalCode === null
  const isReady = () =>
    testbed.waitUntilReady().then(
      () => true,
      () => false,
    )
  const answersOrdinaryRequest = async (t: Test) => {
    const deadline = performance.now() + requestTimeoutMs
    while (isRunning() && performance.now() < deadline) {
      const { status, body } = await testbed.send(0, 'lamps')
      if (status === 200) return true
      t.comment(`ordinary request: status ${status}, ${body}`)
      if (!passingStatuses.has(status)) return false
      await new Promise(resolve => setTimeout(resolve, 250))
    }
    return false
  }
  await until(async () => (await testbed.send(0, 'lamps')).status === 200)
  const idleMb = peakResidentMb(pid)
  return {
    ip: entry.host,
    ports: {
      callers: portOf(entry.callers),
      operators: portOf(entry.operators),
      peers: portOf(readyOutput.peers),
    },
    usualHeaders: `host: ${entry.host}\r\nauthorization: Bearer ${testbed.sample.keys.lamps ?? ''}\r\n`,
    stopReadingLog: () => {
      child.stderr?.pause()
    },
    checkAfterLoad: async t => {
      if (!isRunning()) {
        t.fail('the process has ended', {
          exit: await program.waitForExit(),
          log: program.log().slice(-3_000),
        })
        return
      }
      const [peakMb, descriptors] = [peakResidentMb(pid), countDescriptors(pid)]
      t.comment(
        `peak of resident memory: ${peakMb} MB (${idleMb} MB before the load), descriptors: ${descriptors}`,
      )
      t.ok(peakMb < maxResidentMb, `the peak of resident memory is under ${maxResidentMb} MB`, {
        peakMb,
      })
      t.ok(descriptors < maxOpenFiles - 10, 'some descriptors are free')
      t.ok(await isReady(), 'the entry host is ready')
      t.ok(await answersOrdinaryRequest(t), 'an ordinary request is answered')
      t.ok(isRunning(), 'the process is alive')
    },
  }
}
