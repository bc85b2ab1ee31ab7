import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./config-in-force.feature', import.meta.url))
