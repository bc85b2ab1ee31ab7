import { create } from '@bufbuild/protobuf'
import type { ConfigReport } from '@bulrushbridge/config-view'
import { ReportSchema, type Report } from '@bulrushbridge/wire'
import type { LocalLoad } from './peer-load.js'

/** Builds the report of an exchange from the configuration view's report and this host's load. */
export function toReport(own: ConfigReport, load: LocalLoad): Report {
  return create(ReportSchema, {
    member: own.member,
    incarnation: own.incarnation,
    version: BigInt(own.version),
    restrictions: own.restrictions,
    demand: load.demand,
    load: load.runners,
    spare: load.spare,
  })
}

/** Extracts the configuration view's report from a received message. */
export function toConfigReport(report: Report): ConfigReport {
  return {
    member: report.member,
    incarnation: report.incarnation,
    version: Number(report.version),
    restrictions: report.restrictions.map(({ id, change }) => ({ id, change })),
  }
}
