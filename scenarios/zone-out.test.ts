import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./zone-out.feature', import.meta.url))
