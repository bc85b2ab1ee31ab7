export {
  createDispatcher,
  type Dispatcher,
  type DispatcherOptions,
  type DispatcherTiming,
  type RunnerConnections,
} from './dispatcher.js'
