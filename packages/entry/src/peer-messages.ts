import { create } from '@bufbuild/protobuf'
import type { ConfigReport } from '@bulrushbridge/config-view'
import { ReportSchema, type Report } from '@bulrushbridge/wire'
import type { LocalLoad } from './peer-load.js'

/** The message of an exchange: the configuration's part and the load of this entry host. */
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

/** The configuration's part of a received message. */
export function toConfigReport(report: Report): ConfigReport {
  return {
    member: report.member,
    incarnation: report.incarnation,
    version: Number(report.version),
    restrictions: report.restrictions.map(({ id, change }) => ({ id, change })),
  }
}
