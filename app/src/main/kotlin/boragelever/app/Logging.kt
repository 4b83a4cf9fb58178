package boragelever.app

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.slf4j.LoggerFactory
import java.util.logging.Handler
import java.util.logging.LogRecord

private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %thread %msg%n"

/**
 * Sends log lines to [stream] in the format and from the level of [settings].
 *
 * Lines go through a bounded queue and are dropped while it is full, so that a slow reader of the log never blocks a
 * call.
 */
internal fun configureLogging(settings: LogSettings, stream: LogStream = LogStream.ERROR) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = context
    appender.setTarget(stream.target)
    appender.encoder = encoder(settings.format, context)
    appender.start()
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        level = Level.WARN
        addAppender(asyncAppender(appender, context))
    }
    context.getLogger("boragelever").level =
        when (settings.level) {
            LogLevel.DEBUG -> Level.DEBUG
            LogLevel.INFO -> Level.INFO
            LogLevel.WARN -> Level.WARN
            LogLevel.ERROR -> Level.ERROR
        }
    SpanExporterLogHandler.install()
}

/** Forwards log records of the OpenTelemetry span exporter without their stack traces. */
private object SpanExporterLogHandler : Handler() {
    private val log = LoggerFactory.getLogger("boragelever.traces")

    /** Strong reference: the JDK holds loggers only weakly and would discard this configuration. */
    private val exporterLogger = java.util.logging.Logger.getLogger("io.opentelemetry")

    fun install() {
        exporterLogger.useParentHandlers = false
        if (this !in exporterLogger.handlers) exporterLogger.addHandler(this)
    }

    override fun publish(record: LogRecord) {
        log.warn("[node] span exporter: {}", record.message)
    }

    override fun flush() = Unit

    override fun close() = Unit
}

/** Target stream of log lines. */
internal enum class LogStream(val target: String) {
    /** Standard output, for commands that write nothing else to it. */
    OUTPUT("System.out"),

    /** Standard error, for commands that print results to standard output. */
    ERROR("System.err"),
}

private fun asyncAppender(appender: ConsoleAppender<ILoggingEvent>, context: LoggerContext): AsyncAppender =
    AsyncAppender().apply {
        this.context = context
        queueSize = LOG_QUEUE_LINES
        discardingThreshold = 0
        isNeverBlock = true
        maxFlushTime = LOG_FLUSH_MILLIS
        addAppender(appender)
        start()
    }

private const val LOG_QUEUE_LINES = 1_024
private const val LOG_FLUSH_MILLIS = 500

private fun encoder(format: OutputFormat, context: LoggerContext): Encoder<ILoggingEvent> =
    when (format) {
        OutputFormat.TEXT -> PatternLayoutEncoder().apply { pattern = TEXT_PATTERN }
        OutputFormat.JSON -> JsonEncoder().apply {
            setWithSequenceNumber(false)
            setWithNanoseconds(false)
            setWithContext(false)
            setWithMDC(false)
        }
    }.apply {
        this.context = context
        start()
    }
