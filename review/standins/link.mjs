// A proxy in front of one server, which can be cut: bytes in both directions are dropped without a
// reset, and new connections get no answer, until it is healed.
import { connect, createServer } from 'node:net'
import { listen } from './store.mjs'

export async function startLink({ host, to }) {
  const pairs = new Set()
  let isCut = false
  let isDown = false
  const server = createServer(client => {
    const pair = { client, upstream: undefined }
    pairs.add(pair)
    client.setNoDelay(true)
    const drop = () => {
      pairs.delete(pair)
      client.destroy()
      pair.upstream?.destroy()
    }
    client.on('error', drop)
    client.on('close', drop)
    if (isCut || isDown) {
      client.pause()
      return
    }
    pair.upstream = connect({ host, port: to })
    pair.upstream.setNoDelay(true)
    const dropUnlessLost = () => pair.isOfLostMachine || drop()
    pair.upstream.on('error', dropUnlessLost)
    pair.upstream.on('close', dropUnlessLost)
    client.on('data', chunk => {
      // A machine that is back resets connections from before it lost power.
      if (pair.isOfLostMachine && !isDown) client.resetAndDestroy()
      else if (!pair.isOfLostMachine && !isCut) pair.upstream.write(chunk)
    })
    pair.upstream.on('data', chunk => isCut || pair.isOfLostMachine || client.write(chunk))
  })
  await listen(server, host, 0)
  return {
    address: `${host}:${server.address().port}`,
    cut() {
      isCut = true
    },
    /** The machine loses power: its connections go silent without a reset, new ones get no answer. */
    losePower() {
      isDown = true
      for (const pair of pairs) pair.isOfLostMachine = true
    },
    /** The machine is back; new connections work. */
    regainPower() {
      isDown = false
      for (const { client, upstream } of [...pairs]) if (upstream === undefined) client.destroy()
    },
    /** What was held up is lost: its connections are dropped; new ones work. */
    heal() {
      isCut = false
      for (const { client, upstream } of [...pairs]) {
        client.destroy()
        upstream?.destroy()
      }
    },
    close() {
      for (const { client, upstream } of [...pairs]) {
        client.destroy()
        upstream?.destroy()
      }
      server.close()
    },
  }
}
