import { clientLimitSettings } from '@bulrushbridge/caller-server'
import type { Settings } from '@bulrushbridge/settings'
import { z } from 'zod'

const port = z.coerce.number().int().min(0).max(65_535)
const ms = z.coerce.number().int().min(0).max(3_600_000)
const ipv4 = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}$/, 'use an IPv4 address')
const id = z.string().regex(/^[a-z][a-z0-9-]{0,30}$/, 'use lower-case letters, digits and hyphens')
const peerList = z.string().transform((text, ctx) => {
  const entries = text.split(',').filter(entry => entry !== '')
  return entries.map(entry => {
    const [peerId = '', peerAddress = ''] = entry.split('=')
    if (!/^\d{1,3}(\.\d{1,3}){3}:\d+$/.test(peerAddress)) {
      ctx.addIssue({ code: 'custom', message: `'${entry}' is not ID=IPv4:PORT` })
    }
    return { id: peerId, peerAddress }
  })
})

/** Settings of `bulrush-entry`. */
export const entrySettings = {
  member: { schema: id, description: 'id of this entry host' },
  zone: { schema: id, description: 'availability zone of this entry host' },
  host: { schema: ipv4, description: 'address to listen on' },
  'caller-port': { schema: port, description: 'port for callers', default: '7000' },
  'operator-port': {
    schema: port,
    description: 'port for operators, health and metrics',
    default: '7100',
  },
  'peer-port': { schema: port, description: 'port for other entry hosts', default: '7200' },
  'table-url': { schema: z.url(), description: "URL of the platform's table service" },
  'object-url': { schema: z.url(), description: "URL of the platform's object store" },
  'hosts-url': {
    schema: z.union([z.url(), z.literal('')]),
    description: 'URL of the list of live and leaving hosts; empty for none',
    default: '',
  },
  'peer-secret': {
    schema: z.string().min(16, 'use at least 16 characters'),
    description: 'secret that the entry hosts of an environment share, at least 16 characters',
    secret: true,
  },
  'peer-cert': {
    schema: z.string(),
    description:
      'PEM file with the certificate of this entry host, naming its address; with --peer-key and --peer-ca, peers use mutual TLS',
    default: '',
  },
  'peer-key': {
    schema: z.string(),
    description: 'PEM file with the private key of --peer-cert',
    default: '',
  },
  'peer-ca': {
    schema: z.string(),
    description: "PEM file with the authorities that sign the peers' certificates",
    default: '',
  },
  peers: {
    schema: peerList,
    description: 'peers to ask at start while the store is down: ID=IPv4:PORT,...',
    default: '',
  },
  'bootstrap-digest': {
    schema: z.string().regex(/^([0-9a-f]{64})?$/, 'use a SHA-256 in hexadecimal'),
    description: 'digest of the credential for the first promotion',
    default: '',
  },
  'balancer-wait': {
    schema: ms,
    description: 'milliseconds to wait for the balancer before a shutdown goes on',
    default: '5000',
  },
  'shutdown-limit': {
    schema: ms,
    description: 'milliseconds after which a shutdown stops waiting for requests',
    default: '600000',
  },
  'default-deadline': {
    schema: ms,
    description: 'deadline in milliseconds of a request that gives none',
    default: '30000',
  },
  'max-deadline': {
    schema: ms,
    description: 'longest deadline in milliseconds that a request may give',
    default: '600000',
  },
  'max-body': {
    schema: z.coerce.number().int().min(0),
    description: 'largest request body in bytes',
    default: '67108864',
  },
  'log-level': {
    schema: z.enum(['debug', 'info', 'warn', 'error', 'silent']),
    description: 'lowest level of log lines',
    default: 'info',
  },
  'trace-url': {
    schema: z.union([z.literal(['', 'stderr']), z.url({ protocol: /^https?$/ })]),
    description:
      'URL of a collector that takes OTLP JSON, or stderr for JSON lines; empty exports no spans',
    default: '',
  },
  'trace-ratio': {
    schema: z.coerce.number().min(0).max(1),
    description: 'part of the traces to record when the caller has not decided',
    default: '0.01',
  },
  ...clientLimitSettings,
  'max-buffered-body-bytes': {
    schema: z.coerce.number().int().min(1_048_576).max(1_000_000_000),
    description:
      'most bytes of bodies that are buffered for requests in progress; further ones get 429 or 503',
    default: '32000000',
  },
} as const

/** Parsed settings of `bulrush-entry`. */
export type EntrySettings = Settings<typeof entrySettings>

/** Checks rules that concern several settings; returns a message for each violation. */
export function checkEntrySettings(cfg: EntrySettings): string[] {
  const faults: string[] = []
  if (cfg['default-deadline'] > cfg['max-deadline']) {
    faults.push(
      `--default-deadline (${cfg['default-deadline']}) is above --max-deadline (${cfg['max-deadline']})`,
    )
  }
  const files = [cfg['peer-cert'], cfg['peer-key'], cfg['peer-ca']]
  if (files.includes('') && files.some(file => file !== '')) {
    faults.push('--peer-cert, --peer-key and --peer-ca must be given together')
  }
  return faults
}
