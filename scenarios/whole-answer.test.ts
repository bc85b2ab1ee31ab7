import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./whole-answer.feature', import.meta.url))
