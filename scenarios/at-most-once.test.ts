import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./at-most-once.feature', import.meta.url))
