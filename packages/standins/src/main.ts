import { binary, run, subcommands } from 'cmd-ts'
import { programVersion } from '@bulrushbridge/settings'
import { createStandinCommand } from './commands.js'
import { createHostListStandin } from './host-list.js'
import { createObjectStandin } from './object.js'
import { runnerCommand } from './runner.js'
import { createTableStandin } from './table.js'
import { workerCommand } from './worker.js'

const program = subcommands({
  name: 'bulrush-standin',
  version: programVersion,
  description: "Stand-ins for the platform's services, with one switch per fault.",
  cmds: {
    table: createStandinCommand('table', 'transactional table service', createTableStandin),
    object: createStandinCommand('object', 'object store', createObjectStandin),
    runner: runnerCommand,
    worker: workerCommand,
    hosts: createStandinCommand('hosts', 'list of live and leaving hosts', createHostListStandin),
  },
})

await run(binary(program), process.argv)
