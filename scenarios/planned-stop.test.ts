import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./planned-stop.feature', import.meta.url))
