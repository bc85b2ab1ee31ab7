import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** A TCP proxy to one target whose faults a test switches on and off. */
export interface Link {
  /** `IP:port` to connect to instead of the target. */
  readonly address: string
  /** Closes open connections and closes new ones at once, until {@link Link.heal}. */
  cut(): void
  /**
   * Forwards nothing on open and new connections, without closing them. After {@link Link.heal} new
   * connections work; those opened before stay silent.
   */
  silence(): void
  /** Forwards nothing more on the connections that are open now; new ones work. */
  silenceOpenConnections(): void
  /** Makes new connections work again. */
  heal(): void
  close(): Promise<void>
}

/** A connection to the link and the one that the link opened to its target. */
interface ProxiedConnection {
  client: Socket
  target: Socket
  isSilent: boolean
}

/**
 * Opens a link to the address `target` (`IP:port`); it listens on a free port of `host`.
 *
 * @example
 * const link = await createLink({ host: '127.0.2.9', target: '127.0.2.1:7000' })
 * link.cut()
 */
export async function createLink(opts: { host: string; target: string }): Promise<Link> {
  const [targetHost = '', targetPort = ''] = opts.target.split(':')
  const connections = new Set<ProxiedConnection>()
  let linkState: 'up' | 'cut' | 'silent' = 'up'

  const forward = (connection: ProxiedConnection, from: Socket, to: Socket) => {
    from.on('data', (chunk: Buffer) => {
      if (connection.isSilent) return
      if (to.write(chunk)) return
      from.pause()
      to.once('drain', () => from.resume())
    })
    from.on('end', () => {
      if (!connection.isSilent) to.end()
    })
    from.on('error', () => undefined)
    from.on('close', () => {
      if (!connection.isSilent) to.destroy()
      connections.delete(connection)
    })
  }

  const server = createServer({ allowHalfOpen: true }, client => {
    if (linkState === 'cut') {
      client.destroy()
      return
    }
    const target = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true })
    // Closing a socket that is still connecting can leave its handle open, which would keep the
    // test process alive.
    client.unref()
    target.unref()
    const connection = { client, target, isSilent: linkState === 'silent' }
    connections.add(connection)
    forward(connection, client, target)
    forward(connection, target, client)
  })
  await new Promise<void>(resolve => server.listen(0, opts.host, resolve))
  const { port } = server.address() as AddressInfo
  const silenceConnections = () => {
    for (const connection of connections) connection.isSilent = true
  }
  const destroyConnections = () => {
    for (const { client, target } of connections) {
      client.destroy()
      target.destroy()
    }
    connections.clear()
  }

  return {
    address: `${opts.host}:${port}`,
    cut: () => {
      linkState = 'cut'
      destroyConnections()
    },
    silence: () => {
      linkState = 'silent'
      silenceConnections()
    },
    silenceOpenConnections: silenceConnections,
    heal: () => {
      linkState = 'up'
    },
    close: () => {
      const closed = new Promise<void>(resolve => {
        server.close(() => {
          resolve()
        })
      })
      destroyConnections()
      return closed
    },
  }
}
