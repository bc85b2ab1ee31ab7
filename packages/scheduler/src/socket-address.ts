import { isIPv4, isIPv6 } from 'node:net'

const maxPort = 65_535

/**
 * Whether a text is `ip:port` with a port to which a connection can be opened; an IPv6 address
 * stands in brackets. Node throws when it is given a port out of range.
 *
 * @example
 * isSocketAddress('10.128.0.9:8080') // true
 * isSocketAddress('10.128.0.9:99999') // false
 */
export function isSocketAddress(text: string): boolean {
  const match = /^(?:([\d.]+)|\[([\da-fA-F:.]+)\]):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const [, ipv4, ipv6 = '', port] = match
  const isIp = ipv4 === undefined ? isIPv6(ipv6) : isIPv4(ipv4)
  return isIp && Number(port) >= 1 && Number(port) <= maxPort
}
