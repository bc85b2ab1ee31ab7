// Roarr reads these when it is loaded. Without them it writes nothing, or to standard output, which
// is kept for the output of commands.
process.env.ROARR_LOG ??= 'true'
process.env.ROARR_STREAM ??= 'STDERR'
