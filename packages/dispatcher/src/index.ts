export {
  createDispatcher,
  type Dispatcher,
  type DispatcherOptions,
  type DispatcherTiming,
} from './dispatcher.js'
