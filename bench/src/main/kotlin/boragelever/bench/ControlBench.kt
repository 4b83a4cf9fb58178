package boragelever.bench

import boragelever.core.config.DisseminationProfile
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Options of the `control` subcommand. */
internal data class ControlOptions(
    val sizes: List<MeshSize> = MESH_SIZES,
    val scenario: ScenarioSettings = ScenarioSettings(),
    val seed: Long = 7,
    val links: LinkSettings = LinkSettings(),
)

/** Options of the quick mode: the two smallest meshes and shorter phases. */
internal fun ControlOptions.quick(): ControlOptions =
    copy(
        sizes = sizes.filter { it.nodes <= 100 },
        scenario = ScenarioSettings(
            idleMillis = 10_000,
            changesMillis = 20_000,
            changeIntervalMillis = 2_000,
            churnMillis = 20_000,
            churnChangeIntervalMillis = 5_000,
            replacements = 2,
        ),
    )

/** Measurements of all mesh sizes and dissemination profiles. */
internal class ControlMeasurements(
    val options: ControlOptions,
    val results: List<ControlResult>,
    val heaps: Map<MeshSize, HeapResult>,
)

/**
 * Measures all mesh sizes and dissemination profiles.
 *
 * The profiles of one size run concurrently. The heap is measured beforehand, while nothing else runs.
 */
internal fun runControl(options: ControlOptions): ControlMeasurements {
    val heaps = options.sizes.associateWith { measureHeap(options.mesh(it, DisseminationProfile.CONVERGENCE)) }
    val threads = Executors.newFixedThreadPool(PROFILES.size)
    try {
        val results = options.sizes.flatMap { size ->
            val runs = PROFILES.map { profile ->
                threads.submit(Callable { runScenario(options.mesh(size, profile), options.scenario) })
            }
            runs.map { it.get() }
        }
        return ControlMeasurements(options, results, heaps)
    } finally {
        threads.shutdownNow()
    }
}

private fun ControlOptions.mesh(size: MeshSize, profile: DisseminationProfile): MeshSettings =
    MeshSettings(size, profile, seed, links)

/** Profiles to compare; the first one, polling, is the baseline. */
internal val PROFILES: List<DisseminationProfile> =
    listOf(DisseminationProfile.POLL, DisseminationProfile.CONVERGENCE, DisseminationProfile.BYTES)
