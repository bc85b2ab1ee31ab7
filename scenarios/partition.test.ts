import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./partition.feature', import.meta.url))
