export { createEntryHost, type EntryHost } from './entry-host.js'
export { entrySettings, type EntrySettings } from './settings.js'
