import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** A TCP link whose faults a test switches. */
export interface Link {
  /** `IP:port` to connect to instead of the target. */
  readonly address: string
  /** Resets open connections and refuses new ones until {@link Link.heal}. */
  cut(): void
  /** Passes nothing on open and new connections, without closing them, until {@link Link.heal}. */
  silence(): void
  /** Connections that are open now never pass a byte again; new ones work. */
  silenceOpen(): void
  heal(): void
  close(): Promise<void>
}

interface Pair {
  near: Socket
  far: Socket
  silent: boolean
}

/**
 * Opens a link to an address.
 *
 * @example
 * const link = await createLink({ host: '127.0.2.9', target: '127.0.2.1:7000' })
 * link.cut()
 */
export async function createLink(opts: { host: string; target: string }): Promise<Link> {
  const [targetHost = '', targetPort = ''] = opts.target.split(':')
  const pairs = new Set<Pair>()
  let state: 'up' | 'cut' | 'silent' = 'up'

  const forward = (pair: Pair, from: Socket, to: Socket) => {
    from.on('data', (chunk: Buffer) => {
      if (pair.silent) return
      if (to.write(chunk)) return
      from.pause()
      to.once('drain', () => from.resume())
    })
    from.on('end', () => {
      if (!pair.silent) to.end()
    })
    from.on('error', () => undefined)
    from.on('close', () => {
      if (!pair.silent) to.destroy()
      pairs.delete(pair)
    })
  }

  const server = createServer({ allowHalfOpen: true }, near => {
    if (state === 'cut') {
      near.destroy()
      return
    }
    const far = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true })
    // A reset of a socket that still connects can leave its handle open; it must not keep the test
    // process alive.
    near.unref()
    far.unref()
    const pair = { near, far, silent: state === 'silent' }
    pairs.add(pair)
    forward(pair, near, far)
    forward(pair, far, near)
  })
  await new Promise<void>(resolve => server.listen(0, opts.host, resolve))
  const { port } = server.address() as AddressInfo
  const silenceAll = () => {
    for (const pair of pairs) pair.silent = true
  }
  const dropAll = () => {
    for (const { near, far } of pairs) {
      near.destroy()
      far.destroy()
    }
    pairs.clear()
  }

  return {
    address: `${opts.host}:${port}`,
    cut: () => {
      state = 'cut'
      dropAll()
    },
    silence: () => {
      state = 'silent'
      silenceAll()
    },
    silenceOpen: silenceAll,
    heal: () => {
      state = 'up'
    },
    close: () => {
      const closed = new Promise<void>(resolve => {
        server.close(() => {
          resolve()
        })
      })
      dropAll()
      return closed
    },
  }
}
