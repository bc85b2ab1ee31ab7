// Preloaded into the programs of a testbed. Redirects their connections to other entry hosts to the
// links of the test, so that each direction between two hosts can be cut without a setting that
// only tests would use. TESTBED_ROUTES is the path of a JSON file that maps the `IP:port` of a host
// to the `{host, port}` of the link to it.
import { readFileSync } from 'node:fs'
import { Socket } from 'node:net'

const file = process.env.TESTBED_ROUTES
const connect = Socket.prototype.connect

Socket.prototype.connect = function (...args) {
  // net.connect passes its normalized arguments as one array, direct calls pass an object.
  const opts = Array.isArray(args[0]) ? args[0][0] : args[0]
  // The file is read for each connection, because hosts join while the program runs.
  const routes = JSON.parse(readFileSync(file, 'utf8'))
  Object.assign(opts, routes[`${opts.host}:${opts.port}`])
  return connect.apply(this, args)
}
