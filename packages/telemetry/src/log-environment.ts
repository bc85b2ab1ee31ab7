// Roarr reads these variables when it is imported. By default it writes nothing, and once enabled
// it writes to standard output, which is reserved for the output of commands.
process.env.ROARR_LOG ??= 'true'
process.env.ROARR_STREAM ??= 'STDERR'
