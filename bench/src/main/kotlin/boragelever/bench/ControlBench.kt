package boragelever.bench

import boragelever.core.config.DisseminationProfile
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** What the `control` subcommand measures. */
internal data class ControlOptions(
    val sizes: List<MeshSize> = MESH_SIZES,
    val scenario: ScenarioSettings = ScenarioSettings(),
    val seed: Long = 7,
    val links: LinkSettings = LinkSettings(),
)

/** Options of the quick mode: the two small sizes and shorter phases. */
internal fun ControlOptions.quick(): ControlOptions =
    copy(
        sizes = sizes.filter { it.nodes <= 100 },
        scenario = ScenarioSettings(
            idleMillis = 10_000,
            changesMillis = 20_000,
            changeEachMillis = 2_000,
            churnMillis = 20_000,
            churnChangeEachMillis = 5_000,
            replacements = 2,
        ),
    )

/** Figures of all sizes and profiles. */
internal class ControlFigures(
    val options: ControlOptions,
    val results: List<ControlResult>,
    val heaps: Map<MeshSize, HeapResult>,
)

/** Runs all sizes and profiles; the profiles of one size run side by side, the heap is measured alone. */
internal fun runControl(options: ControlOptions): ControlFigures {
    val heaps = options.sizes.associateWith { measureHeap(options.mesh(it, DisseminationProfile.CONVERGENCE)) }
    val threads = Executors.newFixedThreadPool(PROFILES.size)
    try {
        val results = options.sizes.flatMap { size ->
            val runs = PROFILES.map { profile ->
                threads.submit(Callable { measure(options.mesh(size, profile), options.scenario) })
            }
            runs.map { it.get() }
        }
        return ControlFigures(options, results, heaps)
    } finally {
        threads.shutdownNow()
    }
}

private fun ControlOptions.mesh(size: MeshSize, profile: DisseminationProfile): MeshSettings =
    MeshSettings(size, profile, seed, links)

/** The baseline first. */
internal val PROFILES: List<DisseminationProfile> =
    listOf(DisseminationProfile.POLL, DisseminationProfile.CONVERGENCE, DisseminationProfile.BYTES)
