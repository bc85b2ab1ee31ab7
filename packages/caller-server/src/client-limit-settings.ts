import { readFileSync } from 'node:fs'
import type { Settings, SettingSpec } from '@bulrushbridge/settings'
import { z } from 'zod'
import type { ClientLimits } from './client-limits.js'

const count = z.coerce.number().int().min(1).max(1_000_000)
const milliseconds = z.coerce.number().int().min(100).max(3_600_000)

/** Setting of the time for a whole request to arrive, for programs whose bodies are short. */
export const requestTimeoutSetting = {
  schema: milliseconds.min(10_000),
  description: 'time for a whole request to arrive, in milliseconds',
  default: '60000',
} satisfies SettingSpec

/** Settings of a program that bound what clients make it hold. */
export const clientLimitSettings = {
  'max-connections': {
    schema: count,
    description:
      'most connections of callers, at most half of the descriptors; the oldest idle one is closed for a new one',
    default: '2048',
  },
  'max-address-connections': {
    schema: count,
    description: 'most connections of callers from one address',
    default: '1920',
  },
  'max-requests': {
    schema: count,
    description: 'most requests of callers in progress; further ones get 503',
    default: '2048',
  },
  'max-address-requests': {
    schema: count,
    description: 'most requests in progress from one address; further ones get 429',
    default: '1920',
  },
  'max-pipelined-requests': {
    schema: count.min(2),
    description:
      'requests without a delivered response from which a connection is not read until one is delivered',
    default: '8',
  },
  'max-unread-responses': {
    schema: count,
    description: 'most responses that are written and not read, on all connections together',
    default: '4096',
  },
  'max-unparsed-bytes': {
    schema: z.coerce.number().int().min(65_536).max(1_000_000_000),
    description: 'most bytes that are read from connections and not parsed',
    default: '8000000',
  },
  'unread-timeout': {
    schema: milliseconds,
    description: 'time for which a client may leave a response unread, in milliseconds',
    default: '10000',
  },
  'max-internal-connections': {
    schema: count,
    description:
      'most connections to each of the ports that are not for callers, at most a sixteenth of the descriptors',
    default: '64',
  },
  'max-client-log-lines': {
    schema: count,
    description: 'most log lines a second about failed requests of one address',
    default: '100',
  },
} satisfies Record<string, SettingSpec>

/** Values of {@link clientLimitSettings}. */
export type ClientLimitSettings = Settings<typeof clientLimitSettings>

/** Most requests in progress at an internal port. */
const maxInternalRequests = 256

/** Fraction of the descriptors for callers; the others are for runners, the store and files. */
const callerDescriptorFraction = 1 / 2

/** Fraction of the descriptors for each internal port. */
const internalDescriptorFraction = 1 / 16

/**
 * Derives the bounds of the callers' port; `descriptors` is the number that the process may open.
 *
 * @example
 * const limits = callerLimits(cfg, readDescriptorLimit())
 */
export function callerLimits(cfg: ClientLimitSettings, descriptors: number): ClientLimits {
  const affordable = Math.max(1, Math.floor(descriptors * callerDescriptorFraction))
  const maxConnections = Math.min(cfg['max-connections'], affordable)
  return {
    maxConnections,
    maxAddressConnections: Math.min(cfg['max-address-connections'], maxConnections),
    maxRequests: cfg['max-requests'],
    maxAddressRequests: cfg['max-address-requests'],
    maxPipelinedRequests: cfg['max-pipelined-requests'],
    maxUnreadResponses: cfg['max-unread-responses'],
    maxUnparsedBytes: cfg['max-unparsed-bytes'],
    maxUnreadMs: cfg['unread-timeout'],
    closesBusyConnections: false,
  }
}

/**
 * Derives the bounds of the ports that are not for callers. Their clients are few, and all may have one
 * address.
 */
export function internalLimits(cfg: ClientLimitSettings, descriptors: number): ClientLimits {
  const affordable = Math.max(2, Math.floor(descriptors * internalDescriptorFraction))
  const maxConnections = Math.min(cfg['max-internal-connections'], affordable)
  return {
    maxConnections,
    maxAddressConnections: maxConnections,
    maxRequests: maxInternalRequests,
    maxAddressRequests: maxInternalRequests,
    maxPipelinedRequests: 2,
    maxUnreadResponses: maxInternalRequests,
    maxUnparsedBytes: cfg['max-unparsed-bytes'],
    maxUnreadMs: cfg['unread-timeout'],
    closesBusyConnections: true,
  }
}

/** Reads the number of descriptors that this process may open; infinite where it is not known. */
export function readDescriptorLimit(): number {
  try {
    const match = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))
    return match === null ? Infinity : Number(match[1])
  } catch {
    // Not on Linux.
    return Infinity
  }
}
