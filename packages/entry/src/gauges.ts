import type { ConfigView } from '@bulrushbridge/config-view'
import type { PeerServer } from '@bulrushbridge/peer-link'
import type { TeamPermits } from '@bulrushbridge/team-limit'
import type { Metrics } from '@bulrushbridge/telemetry'
import type { CallerServer } from '@bulrushbridge/caller-server'
import type { Services } from './services.js'

/** The parts of an entry host whose state the gauges read. */
export interface GaugeSources {
  view: ConfigView
  permits: TeamPermits
  services: Services
  callerServer: CallerServer
  peerServer: PeerServer
}

/** Registers the gauges of an entry host. */
export function registerGauges(metrics: Metrics, sources: GaugeSources): void {
  const { view, permits, services, callerServer, peerServer } = sources
  metrics.gauge('bulrush_config_version', 'Version of the configuration in force here', () => [
    { value: view.current().version },
  ])
  metrics.gauge('bulrush_view_confirmed', '1 while the view is confirmed', () => [
    { value: view.isConfirmed() ? 1 : 0 },
  ])
  metrics.gauge('bulrush_caller_requests', 'Requests of callers in progress', () => [
    { value: callerServer.activeRequests() },
  ])
  metrics.gauge('bulrush_client_held', 'What callers make this host hold', () =>
    Object.entries(callerServer.held()).map(([kind, value]) => ({ labels: { kind }, value })),
  )
  metrics.gauge('bulrush_peer_bytes', 'Bytes on connections that peers opened', () => [
    { value: peerServer.bytes() },
  ])
  metrics.gauge('bulrush_waiting', 'Requests waiting in queues', () =>
    services
      .demand()
      .map(({ pool, team, waiting }) => ({ labels: { pool, team }, value: waiting })),
  )
  metrics.gauge('bulrush_permits_in_use', 'Permits in use, by team', () =>
    [...permits.inUse()].map(([team, value]) => ({ labels: { team }, value })),
  )
  metrics.gauge('bulrush_permits_held', 'Permits held here, by team', () =>
    [...permits.held()].map(([team, value]) => ({ labels: { team }, value })),
  )
}
