// Preloaded into the programs of a testbed. Sends their connections to other entry hosts through
// links of the test, so that each direction between two hosts can be cut without a setting that
// only tests would use. TESTBED_ROUTES names a JSON file of `IP:port` to the link's `{host, port}`.
import { readFileSync } from 'node:fs'
import { Socket } from 'node:net'

const file = process.env.TESTBED_ROUTES
const connect = Socket.prototype.connect

Socket.prototype.connect = function (...args) {
  // net.connect passes its normalized arguments as one array.
  const opts = Array.isArray(args[0]) ? args[0][0] : args[0]
  // Read each time, because hosts join while the program runs.
  const routes = JSON.parse(readFileSync(file, 'utf8'))
  Object.assign(opts, routes[`${opts.host}:${opts.port}`])
  return connect.apply(this, args)
}
